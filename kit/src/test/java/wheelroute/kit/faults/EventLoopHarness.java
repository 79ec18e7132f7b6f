package wheelroute.kit.faults;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import wheelroute.net.loop.Clock;
import wheelroute.net.loop.EventLoop;

/** A loop for what belongs on its thread. */
abstract class EventLoopHarness {
    protected static final int PATIENCE = 10_000;
    protected EventLoop loop;

    /** Something that is done on the loop's thread. */
    protected interface Step<T> {
        T run() throws Exception;
    }

    protected void startLoop() throws Exception {
        loop = new EventLoop(new Clock(), 1);
        loop.start();
    }

    protected <T> T onLoop(Step<T> step) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.post(
                () -> {
                    try {
                        done.complete(step.run());
                    } catch (Exception e) {
                        done.completeExceptionally(e);
                    }
                });
        return done.get(PATIENCE, TimeUnit.MILLISECONDS);
    }
}
