package wheelroute;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which requests a reload of the configuration and would end the process by
 * default.
 *
 * <p>The runtime's only API for signals, {@code sun.misc.Signal}, is internal. It is accessed by
 * reflection because the compiler warns about each direct use.
 */
final class ReloadSignal {
    private ReloadSignal() {}

    /**
     * Registers a task that runs on a thread of the runtime for each SIGHUP, in place of any task
     * registered before.
     *
     * @throws ReflectiveOperationException if the runtime lacks the API or rejects the handler
     */
    static void onSignal(Runnable task) throws ReflectiveOperationException {
        Class<?> signalType = Class.forName("sun.misc.Signal");
        Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
        Object handler =
                Proxy.newProxyInstance(
                        ReloadSignal.class.getClassLoader(),
                        new Class<?>[] {handlerType},
                        (proxy, method, arguments) -> {
                            task.run();
                            return null;
                        });
        Object signal = signalType.getConstructor(String.class).newInstance("HUP");
        signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
    }
}
