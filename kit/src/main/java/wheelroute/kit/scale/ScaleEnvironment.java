package wheelroute.kit.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import wheelroute.kit.process.LoopExecutor;
import wheelroute.kit.process.ProcessSupervisor;
import wheelroute.kit.process.RehearsalException;
import wheelroute.kit.process.TemporaryDirectory;
import wheelroute.net.loop.Clock;
import wheelroute.net.loop.EventLoop;

/**
 * What the measurements of one scale run share: the event loop of the stubs, the supervisor of the
 * dispatchers' processes, a temporary directory and the results. Thread-safe.
 */
final class ScaleEnvironment implements AutoCloseable {
    private static final double CONNECT_TIMEOUT_SECONDS = 2;

    private final ScalePlan plan;
    private final BooleanSupplier stop;
    private final Consumer<String> progress;
    private final Path directory;
    private final ProcessSupervisor supervisor;
    private final ResourceGuard guard;
    private final EventLoop loop = new EventLoop(new Clock(), CONNECT_TIMEOUT_SECONDS);
    private final ScaleRecorder recorder = new ScaleRecorder();
    private final AtomicInteger startedDaemons = new AtomicInteger();

    /**
     * Creates the environment of one run.
     *
     * @param stop whether to end the run early
     * @param progress gets one line of text for each point that was measured
     */
    ScaleEnvironment(ScalePlan plan, BooleanSupplier stop, Consumer<String> progress)
            throws IOException {
        this.plan = plan;
        this.stop = stop;
        this.progress = progress;
        directory = Files.createTempDirectory("wheelroute-scale");
        supervisor = new ProcessSupervisor(directory);
        guard = new ResourceGuard();
    }

    void startLoop() throws RehearsalException {
        try {
            loop.start();
        } catch (Exception e) {
            throw new RehearsalException("the scale run did not start: " + e, e);
        }
    }

    ScalePlan plan() {
        return plan;
    }

    ScaleRecorder recorder() {
        return recorder;
    }

    ResourceGuard guard() {
        return guard;
    }

    EventLoop loop() {
        return loop;
    }

    Path directory() {
        return directory;
    }

    ProcessSupervisor supervisor() {
        return supervisor;
    }

    boolean isStopped() {
        return stop.getAsBoolean();
    }

    void reportProgress(String line) {
        progress.accept(line);
    }

    /** Returns a number that no other daemon of this run has; the first is 1. */
    int nextDaemonNumber() {
        return startedDaemons.incrementAndGet();
    }

    /** Runs a task on the event loop's thread and waits for its result. */
    <T> T callOnLoop(Callable<T> task) throws RehearsalException {
        return await(LoopExecutor.submit(loop, task));
    }

    /** Runs a task on the event loop's thread and waits until it is done. */
    void runOnLoop(Runnable task) throws RehearsalException {
        callOnLoop(
                () -> {
                    task.run();
                    return null;
                });
    }

    /**
     * Waits for a result.
     *
     * @throws RehearsalException if its task failed or the wait was interrupted
     */
    static <T> T await(Future<T> future) throws RehearsalException {
        try {
            return future.get();
        } catch (InterruptedException e) {
            throw interrupted(e);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof RehearsalException known) {
                throw known;
            }
            throw new RehearsalException("the scale run failed: " + e.getCause(), e.getCause());
        }
    }

    /** Sleeps for a time in milliseconds. */
    static void sleepMillis(long millis) throws RehearsalException {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw interrupted(e);
        }
    }

    /** Keeps the thread interrupted and returns the exception to throw. */
    static RehearsalException interrupted(InterruptedException e) {
        Thread.currentThread().interrupt();
        return new RehearsalException("the scale run was interrupted", e);
    }

    /** Kills the processes that are left, stops the loop and deletes the temporary directory. */
    @Override
    public void close() throws IOException, RehearsalException {
        supervisor.close();
        try {
            loop.stop();
        } catch (Exception e) {
            throw new RehearsalException("the scale run did not end: " + e, e);
        }
        TemporaryDirectory.delete(directory);
    }
}
