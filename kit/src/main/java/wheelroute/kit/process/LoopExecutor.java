package wheelroute.kit.process;

import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import wheelroute.net.loop.EventLoop;

/** Runs tasks on an event loop's thread and waits for their results. */
public final class LoopExecutor {
    /**
     * Time within which the event loop must run a task; the machine is too busy for a run if it
     * takes longer.
     */
    static final int TIMEOUT_SECONDS = 20;

    private final EventLoop loop;

    LoopExecutor(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Runs a task on the event loop's thread. May be called on any thread.
     *
     * @return completed with the result or the exception of the task
     */
    public static <T> CompletableFuture<T> submit(EventLoop loop, Callable<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.post(
                () -> {
                    try {
                        result.complete(task.call());
                    } catch (Exception e) {
                        result.completeExceptionally(e);
                    }
                });
        return result;
    }

    /**
     * Runs a task and waits for its result. Must not be called on the loop's thread.
     *
     * @throws Exception the exception that the task has thrown
     * @throws LoopTimeoutException if the task is not done in time
     */
    <T> T call(Callable<T> task) throws Exception {
        try {
            return submit(loop, task).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw e.getCause() instanceof Exception cause ? cause : e;
        } catch (TimeoutException e) {
            throw new LoopTimeoutException(e);
        }
    }

    /**
     * Runs a task without a result and waits for its end, as {@link #call} does.
     *
     * @throws Exception the exception that the task has thrown
     * @throws LoopTimeoutException if the task is not done in time
     */
    void run(ThrowingRunnable task) throws Exception {
        call(
                () -> {
                    task.run();
                    return null;
                });
    }

    /** A task that returns no result and may throw any exception. */
    interface ThrowingRunnable {
        void run() throws Exception;
    }

    /** Thrown if the event loop has not completed a task within the timeout. */
    static final class LoopTimeoutException extends RehearsalException {
        private static final long serialVersionUID = 1L;

        LoopTimeoutException(TimeoutException cause) {
            super(
                    "this machine is too busy: the event loop ran no task for "
                            + TIMEOUT_SECONDS
                            + " s",
                    cause);
        }
    }
}
