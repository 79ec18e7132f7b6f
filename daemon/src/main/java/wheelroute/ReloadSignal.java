package wheelroute;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which requests a reload of the configuration and would end the process by
 * default.
 *
 * <p>The runtime's only API for signals is an internal class that the compiler warns of wherever it
 * is named, hence the access by reflection.
 */
final class ReloadSignal {
    private ReloadSignal() {}

    /**
     * Runs the task for each signal, on a thread of the runtime; replaces an earlier task.
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
