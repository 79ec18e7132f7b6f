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
 * Runs all {@link ScaleMeasurement}s. Each point has its own stub discovery, dispatcher and load.
 * Three points run in parallel: most series are of CPU time, and the machine has enough cores.
 * Times until a change is in force are measured in wall time.
 */
public final class ScaleRun {
    private static final int PARALLEL_POINTS = 3;

    // These references keep the log levels: java.util.logging may discard unreferenced loggers.
    private static final Logger DAEMON_LOGGER = Logger.getLogger("wheelroute");
    private static final Logger JETTY_LOGGER = Logger.getLogger("org.eclipse.jetty");

    private final ScaleEnvironment environment;

    private ScaleRun(ScaleEnvironment environment) {
        this.environment = environment;
    }

    /**
     * Measures all sizes of a plan; blocks until all measurements have ended.
     *
     * @param stop returns whether to end early; checked before each point and during load
     * @param progress receives one line of text for each point that was measured, from any thread
     * @throws RehearsalException if a measurement failed or the run was stopped
     */
    public static ScaleResults run(ScalePlan plan, BooleanSupplier stop, Consumer<String> progress)
            throws RehearsalException {
        raiseLogLevels();
        try {
            MeasuredDaemon.repositoryRoot();
            try (ScaleEnvironment environment = new ScaleEnvironment(plan, stop, progress)) {
                return new ScaleRun(environment).measureAll();
            }
        } catch (IOException e) {
            throw new RehearsalException("the scale run failed: " + e, e);
        }
    }

    private static void raiseLogLevels() {
        // Hundreds of dispatchers in this process would each log the address on which they listen.
        DAEMON_LOGGER.setLevel(Level.WARNING);
        // Jetty logs a warning for each socket that is still being opened when its loop stops.
        JETTY_LOGGER.setLevel(Level.SEVERE);
    }

    private ScaleResults measureAll() throws IOException, RehearsalException {
        environment.startLoop();
        ExecutorService sharedExecutor = Executors.newFixedThreadPool(PARALLEL_POINTS);
        ExecutorService reservedExecutor = Executors.newSingleThreadExecutor();
        try {
            List<Future<?>> running = new ArrayList<>();
            for (ScaleMeasurement.Point point :
                    new DispatcherCountMeasurement(environment).points()) {
                running.add(submit(reservedExecutor, point));
            }
            for (ScaleMeasurement measurement : processMeasurements()) {
                for (ScaleMeasurement.Point point : measurement.points()) {
                    running.add(submit(sharedExecutor, unlessStopped(point)));
                }
            }
            for (Future<?> point : running) {
                ScaleEnvironment.await(point);
            }
        } finally {
            sharedExecutor.shutdownNow();
            reservedExecutor.shutdownNow();
        }
        if (environment.isStopped()) {
            throw new RunStoppedException("the scale run was stopped");
        }
        return environment
                .recorder()
                .results(environment.guard().notJudgedReason(), machineDescription());
    }

    /** Returns the measurements of single processes; those that take longest come first. */
    private List<ScaleMeasurement> processMeasurements() {
        return List.of(
                new WorkerCountMeasurement(environment),
                new ChangeBatchMeasurement(environment),
                new InFlightAttemptsMeasurement(environment),
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
