package wheelroute.kit.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import wheelroute.kit.process.RehearsalException;
import wheelroute.kit.process.RunStoppedException;

/**
 * Runs all {@link ScaleMeasurement}s. Each point has a stub discovery, a dispatcher and a load of
 * its own. Most series are of processor time, so three points run in parallel; the machine has
 * cores for them. The times until a change is in force are measured in wall time.
 */
public final class ScaleRun {
    private static final int PARALLEL_POINTS = 3;

    // Referenced from here, because java.util.logging forgets the level of an unreferenced logger.
    private static final Logger DAEMON_LOGGER = Logger.getLogger("wheelroute");
    private static final Logger JETTY_LOGGER = Logger.getLogger("org.eclipse.jetty");

    private final ScaleEnvironment environment;

    private ScaleRun(ScaleEnvironment environment) {
        this.environment = environment;
    }

    /**
     * Measures all sizes of a plan; blocks until it is done.
     *
     * @param stop whether to end early, checked before each point
     * @param progress gets one line of text for each point that was measured
     * @throws RehearsalException if a measurement failed or the run was stopped
     */
    public static ScaleResults run(ScalePlan plan, BooleanSupplier stop, Consumer<String> progress)
            throws RehearsalException {
        quietLoggers();
        try {
            MeasuredDaemon.repositoryRoot();
            try (ScaleEnvironment environment = new ScaleEnvironment(plan, stop, progress)) {
                return new ScaleRun(environment).measureAll();
            }
        } catch (IOException e) {
            throw new RehearsalException("the scale run failed: " + e, e);
        }
    }

    private static void quietLoggers() {
        // Hundreds of dispatchers in this process would each log where they listen.
        DAEMON_LOGGER.setLevel(Level.WARNING);
        // Jetty warns of each socket that is still being opened when its loop stops.
        JETTY_LOGGER.setLevel(Level.SEVERE);
    }

    private ScaleResults measureAll() throws IOException, RehearsalException {
        environment.startLoop();
        ExecutorService shared = Executors.newFixedThreadPool(PARALLEL_POINTS);
        ExecutorService reserved = Executors.newSingleThreadExecutor();
        try {
            List<Future<?>> running = new ArrayList<>();
            for (ScaleMeasurement.Point point :
                    new DispatcherCountMeasurement(environment).points()) {
                running.add(submit(reserved, point));
            }
            for (ScaleMeasurement measurement : processMeasurements()) {
                for (ScaleMeasurement.Point point : measurement.points()) {
                    running.add(submit(shared, unlessStopped(point)));
                }
            }
            for (Future<?> one : running) {
                ScaleEnvironment.await(one);
            }
        } finally {
            shared.shutdownNow();
            reserved.shutdownNow();
        }
        if (environment.isStopped()) {
            throw new RunStoppedException("the scale run was stopped");
        }
        return environment
                .recorder()
                .results(environment.guard().reasonNotJudged(), machineDescription());
    }

    /** Returns the measurements of one dispatcher process, those that take longest first. */
    private List<ScaleMeasurement> processMeasurements() {
        return List.of(
                new WorkerCountMeasurement(environment),
                new ChangeBatchMeasurement(environment),
                new HeldAttemptsMeasurement(environment),
                new ChangeRateMeasurement(environment),
                new AttemptRateMeasurement(environment),
                new TenantCountMeasurement(environment));
    }

    private ScaleMeasurement.Point unlessStopped(ScaleMeasurement.Point point) {
        return () -> {
            if (!environment.isStopped()) {
                point.measure();
            }
        };
    }

    private static Future<Void> submit(ExecutorService executor, ScaleMeasurement.Point point) {
        return executor.submit(
                () -> {
                    point.measure();
                    return null;
                });
    }

    private static String machineDescription() throws IOException {
        return Runtime.getRuntime().availableProcessors()
                + " cores, "
                + Math.round(ProcessStats.machineMemoryMb())
                + " MB, Java "
                + System.getProperty("java.version");
    }
}
