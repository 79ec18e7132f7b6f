package wheelroute.kit;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import wheelroute.kit.process.LoopExecutor;
import wheelroute.net.loop.Clock;
import wheelroute.net.loop.EventLoop;

/** Runs an event loop for tests of classes that are used only on the loop's thread. */
public abstract class EventLoopHarness {
    /** Maximum time until an expected event on loopback sockets. */
    protected static final int TIMEOUT_MILLIS = 10_000;

    private static final double CONNECT_TIMEOUT_SECONDS = 1;

    protected EventLoop loop;

    protected void startLoop() throws Exception {
        loop = new EventLoop(new Clock(), CONNECT_TIMEOUT_SECONDS);
        loop.start();
    }

    /** Returns the maximum time until a task on the loop is done. */
    protected long loopTimeoutMillis() {
        return TIMEOUT_MILLIS;
    }

    /** Runs a task on the loop's thread and returns its result. */
    protected <T> T onLoop(Callable<T> task) throws Exception {
        return LoopExecutor.submit(loop, task).get(loopTimeoutMillis(), TimeUnit.MILLISECONDS);
    }

    /** Runs a task on the loop's thread and waits until it is done. */
    protected void runOnLoop(Runnable task) throws Exception {
        onLoop(
                () -> {
                    task.run();
                    return null;
                });
    }
}
