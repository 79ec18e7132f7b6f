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

/** Measures CPU and memory by the number of attempts in flight, while no new request arrives. */
final class HeldAttemptsMeasurement implements ScaleMeasurement {
    /** Low enough that a dispatcher with the longest of the measured lists keeps up. */
    private static final double ATTEMPTS_PER_SECOND = 150;

    /** Arrivals are random, so slightly fewer or more than planned are in flight. */
    private static final double MIN_HELD_FRACTION = 0.9;

    private final ScaleEnvironment environment;

    HeldAttemptsMeasurement(ScaleEnvironment environment) {
        this.environment = environment;
    }

    @Override
    public List<Point> points() {
        return ScaleMeasurement.largestFirst(environment.plan().heldAttempts(), this::measure);
    }

    private void measure(int held) throws IOException, RehearsalException {
        int workers = Math.max(ScalePlan.BASELINE_WORKERS, held + held / 2);
        try (DispatcherBench bench = new DispatcherBench(environment, workers, 0)) {
            double memoryBeforeMb = bench.daemon().memoryMb();
            AtomicBoolean done = new AtomicBoolean();
            ExecutorService clients = Executors.newSingleThreadExecutor();
            try {
                Future<LoadRun.Result> load =
                        clients.submit(
                                () ->
                                        LoadRun.run(
                                                heldLoad(bench, held),
                                                () -> done.get() || environment.isStopped()));
                ScaleEnvironment.sleepMillis(
                        (long) (held / ATTEMPTS_PER_SECOND * MILLIS_PER_SECOND));
                awaitHeld(bench, held, load);
                record(bench, memoryBeforeMb);
                done.set(true);
                ScaleEnvironment.await(load);
            } finally {
                done.set(true);
                clients.shutdown();
            }
        }
    }

    /** Requests that arrive within a short time and run for longer than the measurement takes. */
    private static LoadRun.Load heldLoad(DispatcherBench bench, int held) {
        return bench.openLoopLoad(
                ATTEMPTS_PER_SECOND,
                DispatcherBench.CLIENT_TIMEOUT_SECONDS,
                held / ATTEMPTS_PER_SECOND,
                0);
    }

    private static void awaitHeld(DispatcherBench bench, int held, Future<?> load)
            throws IOException, RehearsalException {
        bench.awaitCondition(
                () ->
                        bench.workers().requestsInFlight() >= MIN_HELD_FRACTION * held
                                || load.isDone(),
                "fewer than " + held + " attempts could be kept in flight");
    }

    private void record(DispatcherBench bench, double memoryBeforeMb)
            throws IOException, RehearsalException {
        double cores = bench.measureUse(environment.plan().averagingSeconds()).cores();
        int inFlight = environment.callOnLoop(bench.workers()::requestsInFlight);
        ScaleRecorder recorder = environment.recorder();
        recorder.record(ScaleSeries.HELD_CPU, inFlight, cores);
        recorder.record(
                ScaleSeries.HELD_MEMORY, inFlight, bench.daemon().memoryMb() - memoryBeforeMb);
        environment.reportProgress(
                String.format(
                        Locale.ROOT,
                        "%d attempts in flight: %.4f cores, %.1f MB more",
                        inFlight,
                        cores,
                        bench.daemon().memoryMb() - memoryBeforeMb));
    }
}
