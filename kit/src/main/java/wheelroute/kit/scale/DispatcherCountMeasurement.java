package wheelroute.kit.scale;

import static wheelroute.units.TimeUnits.MILLIS_PER_SECOND;
import static wheelroute.units.TimeUnits.NANOS_PER_SECOND;

import java.io.IOException;
import java.util.List;
import wheelroute.kit.process.RehearsalException;

/**
 * Measures the load on one discovery by the number of dispatchers, and how soon a change is in
 * force at all of them. All but one are hollow dispatchers; one process is measured beside them, to
 * check that the hollow ones behave alike. The last step is a restart of discovery under all of
 * them.
 */
final class DispatcherCountMeasurement implements ScaleMeasurement {
    private static final int HOLLOW_MAX_SOCKETS = 128;

    /** Calls of many dispatchers are averaged over a longer time than those of one. */
    private static final double AVERAGING_FACTOR = 2;

    /**
     * Capacity of discovery after its restart, for each dispatcher: all of them call again at the
     * same time, and each needs a further answer for each change, one per second.
     */
    private static final double RESTART_CALLS_PER_SECOND_EACH = 2;

    private static final double RESTART_DOWNTIME_SECONDS = 3;
    private final ScaleEnvironment environment;

    DispatcherCountMeasurement(ScaleEnvironment environment) {
        this.environment = environment;
    }

    /** Returns a single point: the dispatchers of one size are started in addition to the last. */
    @Override
    public List<Point> points() {
        return List.of(this::measure);
    }

    private void measure() throws IOException, RehearsalException {
        DispatcherBench bench = new DispatcherBench(environment, ScalePlan.BASELINE_WORKERS, 0);
        try (bench;
                HollowDispatchers hollow = new HollowDispatchers(environment.directory())) {
            bench.startChanges(ScalePlan.BASELINE_CHANGES_PER_SECOND);
            for (int count : environment.plan().dispatcherCounts()) {
                if (environment.isStopped()) {
                    return;
                }
                growTo(count, bench, hollow);
                measureCalls(count, bench.discovery());
                environment.reportProgress(count + " hollow dispatchers");
            }
            measureDiscoveryRestart(bench, hollow.size());
        }
    }

    private static void growTo(int count, DispatcherBench bench, HollowDispatchers hollow)
            throws IOException, RehearsalException {
        DiscoveryService discovery = bench.discovery();
        hollow.growTo(
                count,
                new DispatcherConfigFile(
                        discovery.address(DiscoveryService.Caller.HOLLOW),
                        count,
                        0,
                        DispatcherBench.MEMORY_MB,
                        HOLLOW_MAX_SOCKETS));
        bench.awaitCondition(
                () -> discovery.connectionCount() == count + 1,
                "hollow dispatchers did not load the endpoint list");
    }

    private void measureCalls(int count, DiscoveryService discovery)
            throws IOException, RehearsalException {
        DiscoveryCallStatistics hollow = discovery.statistics(DiscoveryService.Caller.HOLLOW);
        DiscoveryCallStatistics process = discovery.statistics(DiscoveryService.Caller.PROCESS);
        environment.runOnLoop(
                () -> {
                    hollow.clear();
                    process.clear();
                });
        double seconds = AVERAGING_FACTOR * environment.plan().averagingSeconds();
        ScaleEnvironment.sleepMillis((long) (seconds * MILLIS_PER_SECOND));
        environment.guard().checkLimits();
        environment.runOnLoop(
                () -> {
                    recordSeries(count, seconds, hollow);
                    recordFigures(count, seconds, hollow, process);
                });
    }

    private void recordSeries(int count, double seconds, DiscoveryCallStatistics hollow) {
        ScaleRecorder recorder = environment.recorder();
        recorder.record(ScaleSeries.DISCOVERY_CALLS, count, hollow.calls() / seconds);
        recorder.record(ScaleSeries.DISCOVERY_BYTES, count, hollow.bytes() / seconds);
        recorder.record(
                ScaleSeries.TIME_TO_IN_FORCE_P50, count, hollow.secondsToInForceAtPercentile(50));
        recorder.record(
                ScaleSeries.TIME_TO_IN_FORCE_P99, count, hollow.secondsToInForceAtPercentile(99));
        recorder.record(ScaleSeries.TIME_TO_IN_FORCE_MAX, count, hollow.maxSecondsToInForce());
    }

    private void recordFigures(
            int count,
            double seconds,
            DiscoveryCallStatistics hollow,
            DiscoveryCallStatistics process) {
        ScaleRecorder recorder = environment.recorder();
        recorder.record(ScaleFigure.HOLLOW_CALLS_PER_SECOND, hollow.calls() / seconds / count);
        recorder.record(ScaleFigure.PROCESS_CALLS_PER_SECOND, process.calls() / seconds);
        recorder.record(
                ScaleFigure.HOLLOW_TIME_TO_IN_FORCE_P50_SECONDS,
                hollow.secondsToInForceAtPercentile(50));
        recorder.record(
                ScaleFigure.PROCESS_TIME_TO_IN_FORCE_P50_SECONDS,
                process.secondsToInForceAtPercentile(50));
    }

    /** Restarts discovery with a capacity that all dispatchers together would exceed. */
    private void measureDiscoveryRestart(DispatcherBench bench, int hollowCount)
            throws IOException, RehearsalException {
        DiscoveryService discovery = bench.discovery();
        DiscoveryCallStatistics statistics = discovery.statistics(DiscoveryService.Caller.HOLLOW);
        environment.callOnLoop(
                () -> {
                    discovery.setCallsPerSecond(RESTART_CALLS_PER_SECOND_EACH * hollowCount);
                    statistics.clear();
                    discovery.restart(RESTART_DOWNTIME_SECONDS);
                    discovery.changeEndpoints(1);
                    return null;
                });
        ScaleEnvironment.sleepMillis((long) (RESTART_DOWNTIME_SECONDS * MILLIS_PER_SECOND));
        long returnedNanos = System.nanoTime();
        bench.awaitCondition(
                () ->
                        discovery.connectionCount() >= hollowCount + 1
                                && discovery.connectionsBehind() == 0,
                "not all dispatchers reconnected after the restart of discovery");
        ScaleRecorder recorder = environment.recorder();
        recorder.record(
                ScaleFigure.DISCOVERY_RECOVERY_SECONDS,
                (System.nanoTime() - returnedNanos) / NANOS_PER_SECOND);
        recorder.record(
                ScaleFigure.DISCOVERY_RECOVERY_CALLS,
                environment.callOnLoop(() -> (double) statistics.calls()));
        environment.reportProgress("discovery restarted under " + hollowCount + " dispatchers");
    }
}
