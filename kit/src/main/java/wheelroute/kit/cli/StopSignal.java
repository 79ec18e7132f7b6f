package wheelroute.kit.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Tells a command whether the process was asked to end, for example by ^C. Shutdown then waits for
 * the command to end its child processes and to write its partial report.
 *
 * <p>Instances are thread-safe because a shutdown hook sets the signal on its own thread.
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

    /** Lets the JVM shut down; called after the command has written all of its output. */
    void onCommandFinished() {
        finished.countDown();
        if (!requested) {
            try {
                Runtime.getRuntime().removeShutdownHook(hook);
            } catch (IllegalStateException e) {
                // The shutdown began after the signal was checked.
                requested = true;
            }
        }
    }
}
