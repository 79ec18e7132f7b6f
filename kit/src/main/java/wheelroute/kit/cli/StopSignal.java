package wheelroute.kit.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * ^C: the run ends early, its children are ended and its partial report is written before the
 * process goes.
 */
final class StopSignal implements BooleanSupplier {
    private static final int MOST_SECONDS = 15;

    private final CountDownLatch finished = new CountDownLatch(1);
    private final Thread hook = new Thread(this::request, "stop");
    private volatile boolean requested;

    StopSignal() {
        Runtime.getRuntime().addShutdownHook(hook);
    }

    private void request() {
        requested = true;
        try {
            finished.await(MOST_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public boolean getAsBoolean() {
        return requested;
    }

    /** All is written. */
    void finished() {
        finished.countDown();
        if (!requested) {
            try {
                Runtime.getRuntime().removeShutdownHook(hook);
            } catch (IllegalStateException e) {
                // It is running already: asked in this very moment.
                requested = true;
            }
        }
    }
}
