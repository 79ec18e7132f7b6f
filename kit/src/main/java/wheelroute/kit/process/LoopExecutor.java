package wheelroute.kit.process;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import wheelroute.net.loop.EventLoop;

/** Runs tasks on an event loop's thread and waits for their results. */
final class LoopExecutor {
    /** A task that takes longer fails: the machine is too busy for a run. */
    static final int TIMEOUT_SECONDS = 20;

    /** A task with a result. */
    interface ThrowingTask<T> {
        T run() throws Exception;
    }

    private final EventLoop loop;

    LoopExecutor(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Runs a task and waits for it. Must not be called on the loop's thread.
     *
     * @throws Exception that of the task, or a RehearsalException if it is not done in time
     */
    <T> T call(ThrowingTask<T> task) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.post(
                () -> {
                    try {
                        done.complete(task.run());
                    } catch (Exception e) {
                        done.completeExceptionally(e);
                    }
                });
        try {
            return done.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw e.getCause() instanceof Exception cause ? cause : e;
        } catch (TimeoutException e) {
            throw new RehearsalException(
                    "this machine is too busy: nothing ran for " + TIMEOUT_SECONDS + " s");
        }
    }
}
