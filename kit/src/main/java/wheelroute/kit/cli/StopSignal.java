package wheelroute.kit.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Whether the process was asked to end, as by ^C. The JVM then waits for the command to end its
 * child processes and to write its partial report.
 *
 * <p>Thread-safe: the request comes on the thread of a shutdown hook.
 */
final class StopSignal implements BooleanSupplier {
    private static final int MAX_WAIT_SECONDS = 15;

    private final CountDownLatch finished = new CountDownLatch(1);
    private final Thread hook = new Thread(this::request, "stop");
    private volatile boolean requested;

    StopSignal() {
        Runtime.getRuntime().addShutdownHook(hook);
    }

    private void request() {
        requested = true;
        try {
            finished.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public boolean getAsBoolean() {
        return requested;
    }

    /** Lets the JVM end: the command has written everything. */
    void finished() {
        finished.countDown();
        if (!requested) {
            try {
                Runtime.getRuntime().removeShutdownHook(hook);
            } catch (IllegalStateException e) {
                // The shutdown has begun in between.
                requested = true;
            }
        }
    }
}
