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
 * The resources that the measurements of a scale run share, e.g. the event loop of the stubs, the
 * supervisor of the dispatchers' processes, a temporary directory and the results. Thread-safe.
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
     * @param stop returns whether to end the run early
     * @param progress receives one line of text for each point that was measured, from any thread
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
            throw new RehearsalException(
                    "the event loop of the scale run failed to start: " + e, e);
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

    /** Returns a number that is unique among the daemons of this run; the first is 1. */
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
     * Waits for the result of a task.
     *
     * @throws RehearsalException if the task failed or the wait was interrupted
     */
    static <T> T await(Future<T> future) throws RehearsalException {
        try {
            return future.get();
        } catch (InterruptedException e) {
            throw interrupted(e);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof RehearsalException rehearsalException) {
                throw rehearsalException;
            }
            throw new RehearsalException("the scale run failed: " + e.getCause(), e.getCause());
        }
    }

    /** Sleeps; an interrupt of the thread is reported as the failure of the run. */
    static void sleepMillis(long millis) throws RehearsalException {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw interrupted(e);
        }
    }

    /** Restores the interrupt flag of the thread and returns the exception to throw. */
    static RehearsalException interrupted(InterruptedException e) {
        Thread.currentThread().interrupt();
        return new RehearsalException("the scale run was interrupted", e);
    }

    /** Kills remaining processes, stops the event loop and deletes the temporary directory. */
    @Override
    public void close() throws IOException, RehearsalException {
        supervisor.close();
        try {
            loop.stop();
        } catch (Exception e) {
            throw new RehearsalException("the event loop of the scale run failed to stop: " + e, e);
        }
        TemporaryDirectory.delete(directory);
    }
}
