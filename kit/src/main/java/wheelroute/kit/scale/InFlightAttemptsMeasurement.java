package wheelroute.kit.scale;

import static wheelroute.units.TimeUnits.MILLIS_PER_SECOND;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import wheelroute.kit.process.LoadRun;
import wheelroute.kit.process.RehearsalException;

/** Measures CPU and memory by the number of attempts in flight while no new requests arrive. */
final class InFlightAttemptsMeasurement implements ScaleMeasurement {
    /** The rate is low enough that a dispatcher keeps up with the longest list of this series. */
    private static final double ATTEMPTS_PER_SECOND = 150;

    /** Required fraction of the planned attempts; arrivals are random, so their number varies. */
    private static final double MIN_IN_FLIGHT_FRACTION = 0.9;

    private final ScaleEnvironment environment;

    InFlightAttemptsMeasurement(ScaleEnvironment environment) {
        this.environment = environment;
    }

    @Override
    public List<Point> points() {
        return ScaleMeasurement.largestFirst(environment.plan().attemptsInFlight(), this::measure);
    }

    private void measure(int attempts) throws IOException, RehearsalException {
        int workers = Math.max(ScalePlan.BASELINE_WORKERS, attempts + attempts / 2);
        try (DispatcherBench bench = new DispatcherBench(environment, workers, 0)) {
            double memoryBeforeMb = bench.daemon().memoryMb();
            AtomicBoolean done = new AtomicBoolean();
            ExecutorService clients = Executors.newSingleThreadExecutor();
            try {
                Future<LoadRun.Result> load =
                        clients.submit(
                                () ->
                                        LoadRun.run(
                                                longRunningLoad(bench, attempts),
                                                () -> done.get() || environment.isStopped()));
                ScaleEnvironment.sleepMillis(
                        (long) (attempts / ATTEMPTS_PER_SECOND * MILLIS_PER_SECOND));
                awaitInFlight(bench, attempts, load);
                record(bench, memoryBeforeMb);
                done.set(true);
                ScaleEnvironment.await(load);
            } finally {
                done.set(true);
                clients.shutdown();
            }
        }
    }

    /** Returns a load whose requests arrive quickly and outlast the measurement. */
    private static LoadRun.Load longRunningLoad(DispatcherBench bench, int attempts) {
        return bench.openLoopLoad(
                ATTEMPTS_PER_SECOND,
                DispatcherBench.CLIENT_TIMEOUT_SECONDS,
                attempts / ATTEMPTS_PER_SECOND,
                0);
    }

    private static void awaitInFlight(DispatcherBench bench, int attempts, Future<?> load)
            throws IOException, RehearsalException {
        bench.awaitCondition(
                () ->
                        bench.workers().requestsInFlight() >= MIN_IN_FLIGHT_FRACTION * attempts
                                || load.isDone(),
                "failed to reach " + attempts + " attempts in flight");
    }

    private void record(DispatcherBench bench, double memoryBeforeMb)
            throws IOException, RehearsalException {
        double cores = bench.measureUse(environment.plan().averagingSeconds()).cores();
        int inFlight = environment.callOnLoop(bench.workers()::requestsInFlight);
        ScaleRecorder recorder = environment.recorder();
        recorder.record(ScaleSeries.IN_FLIGHT_CPU, inFlight, cores);
        recorder.record(
                ScaleSeries.IN_FLIGHT_MEMORY, inFlight, bench.daemon().memoryMb() - memoryBeforeMb);
        environment.reportProgress(
                String.format(
                        Locale.ROOT,
                        "%d attempts in flight: %.4f cores, %.1f MB more",
                        inFlight,
                        cores,
                        bench.daemon().memoryMb() - memoryBeforeMb));
    }
}
