package wheelroute.kit.scale;

import static wheelroute.units.TimeUnits.MILLIS_PER_SECOND;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import wheelroute.kit.process.RehearsalException;

/** Measures start time, memory and CPU of a dispatcher by the length of its endpoint list. */
final class WorkerCountMeasurement implements ScaleMeasurement {
    /** The rate is low, because attempts with the most workers take a large part of a core. */
    private static final int ATTEMPTS_PER_SECOND = 10;

    private final ScaleEnvironment environment;

    WorkerCountMeasurement(ScaleEnvironment environment) {
        this.environment = environment;
    }

    @Override
    public List<Point> points() {
        return ScaleMeasurement.largestFirst(environment.plan().workerCounts(), this::measure);
    }

    private void measure(int workers) throws IOException, RehearsalException {
        ScaleRecorder recorder = environment.recorder();
        double seconds = environment.plan().averagingSeconds();
        try (DispatcherBench bench = new DispatcherBench(environment, workers, 0)) {
            recorder.record(ScaleSeries.TIME_TO_READY, workers, bench.readySeconds());
            recorder.record(
                    ScaleSeries.TIME_TO_ENDPOINT_LIST, workers, bench.endpointListSeconds());
            recorder.record(
                    ScaleSeries.COMPLETE_LIST_BYTES,
                    workers,
                    environment.callOnLoop(bench.discovery()::completeListBytes));
            recorder.record(ScaleSeries.FIRST_ATTEMPTS_CPU, workers, bench.warmUp(0));
            bench.startChanges(ScalePlan.BASELINE_CHANGES_PER_SECOND);
            double idleCores = bench.measureUse(seconds).cores();
            recorder.record(ScaleSeries.IDLE_CPU, workers, idleCores);
            double cpuSeconds = bench.measureAttempts(ATTEMPTS_PER_SECOND, seconds, 0);
            // The idle cost during the load is assumed to equal that measured before the load.
            recorder.record(
                    ScaleSeries.ATTEMPT_CPU,
                    workers,
                    Math.max(0, cpuSeconds - idleCores / ATTEMPTS_PER_SECOND));
            recorder.record(ScaleSeries.MEMORY, workers, bench.daemon().memoryMb());
            environment.reportProgress(
                    String.format(
                            Locale.ROOT,
                            "%d workers: ready in %.2f s, list in %.2f s, %.1f MB, idle %.4f cores,"
                                    + " %.2f ms CPU per attempt",
                            workers,
                            bench.readySeconds(),
                            bench.endpointListSeconds(),
                            bench.daemon().memoryMb(),
                            idleCores,
                            cpuSeconds * MILLIS_PER_SECOND));
        }
    }
}
