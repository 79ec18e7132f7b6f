package wheelroute;

import java.lang.reflect.Proxy;

/**
 * SIGHUP as a call instead of the process's end. The runtime has no other door to signals than a
 * class that the compiler warns of wherever it is named; so it is asked for by name, once, at the
 * start.
 */
final class ReloadSignal {
    private ReloadSignal() {}

    /** The task runs on a thread of the runtime's, once for each signal. */
    static void onSignal(Runnable task) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object relay =
                Proxy.newProxyInstance(
                        ReloadSignal.class.getClassLoader(),
                        new Class<?>[] {handler},
                        (proxy, method, arguments) -> {
                            task.run();
                            return null;
                        });
        signal.getMethod("handle", signal, handler)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), relay);
    }
}
