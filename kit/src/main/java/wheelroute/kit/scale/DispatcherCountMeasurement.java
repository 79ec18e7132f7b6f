package wheelroute.kit.scale;

import static wheelroute.units.TimeUnits.MILLIS_PER_SECOND;
import static wheelroute.units.TimeUnits.NANOS_PER_SECOND;

import java.io.IOException;
import java.util.List;
import wheelroute.kit.process.RehearsalException;

/**
 * Measures the load on one discovery by the number of dispatchers, and the time until a change is
 * in force at all of them. All dispatchers but one run in this process; one separate process is
 * measured as well, to check that the in-process dispatchers behave like it. Finally, discovery is
 * restarted while all dispatchers are connected.
 */
final class DispatcherCountMeasurement implements ScaleMeasurement {
    private static final int IN_PROCESS_MAX_SOCKETS = 128;

    /** Factor by which calls of many dispatchers are averaged over a longer time than usual. */
    private static final double AVERAGING_FACTOR = 2;

    /**
     * Capacity of discovery after its restart, per dispatcher. All dispatchers call again at the
     * same time, and each needs one more response per second, because the list changes once per
     * second.
     */
    private static final double RESTART_CALLS_PER_SECOND_PER_DISPATCHER = 2;

    private static final double RESTART_DOWNTIME_SECONDS = 3;
    private final ScaleEnvironment environment;

    DispatcherCountMeasurement(ScaleEnvironment environment) {
        this.environment = environment;
    }

    /** Returns a single point, because each size adds dispatchers to those of the previous size. */
    @Override
    public List<Point> points() {
        return List.of(this::measure);
    }

    private void measure() throws IOException, RehearsalException {
        DispatcherBench bench = new DispatcherBench(environment, ScalePlan.BASELINE_WORKERS, 0);
        try (bench;
                InProcessDispatchers inProcess =
                        new InProcessDispatchers(environment.directory())) {
            bench.startChanges(ScalePlan.BASELINE_CHANGES_PER_SECOND);
            for (int count : environment.plan().dispatcherCounts()) {
                if (environment.isStopped()) {
                    return;
                }
                growTo(count, bench, inProcess);
                measureCalls(count, bench.discovery());
                environment.reportProgress(count + " in-process dispatchers");
            }
            measureDiscoveryRestart(bench, inProcess.size());
        }
    }

    private static void growTo(int count, DispatcherBench bench, InProcessDispatchers inProcess)
            throws IOException, RehearsalException {
        RateLimitedDiscovery discovery = bench.discovery();
        inProcess.growTo(
                count,
                new DispatcherConfigFile(
                        discovery.address(RateLimitedDiscovery.Caller.IN_PROCESS),
                        count,
                        0,
                        DispatcherBench.MEMORY_MB,
                        IN_PROCESS_MAX_SOCKETS));
        bench.awaitCondition(
                () -> discovery.connectionCount() == count + 1,
                "not all in-process dispatchers loaded the endpoint list");
    }

    private void measureCalls(int count, RateLimitedDiscovery discovery)
            throws IOException, RehearsalException {
        DiscoveryCallStatistics inProcess =
                discovery.statistics(RateLimitedDiscovery.Caller.IN_PROCESS);
        DiscoveryCallStatistics process = discovery.statistics(RateLimitedDiscovery.Caller.PROCESS);
        environment.runOnLoop(
                () -> {
                    inProcess.clear();
                    process.clear();
                });
        double seconds = AVERAGING_FACTOR * environment.plan().averagingSeconds();
        ScaleEnvironment.sleepMillis((long) (seconds * MILLIS_PER_SECOND));
        environment.guard().checkLimits();
        environment.runOnLoop(
                () -> {
                    recordSeries(count, seconds, inProcess);
                    recordMetrics(count, seconds, inProcess, process);
                });
    }

    private void recordSeries(int count, double seconds, DiscoveryCallStatistics inProcess) {
        ScaleRecorder recorder = environment.recorder();
        recorder.record(ScaleSeries.DISCOVERY_CALLS, count, inProcess.calls() / seconds);
        recorder.record(ScaleSeries.DISCOVERY_BYTES, count, inProcess.bytes() / seconds);
        recorder.record(
                ScaleSeries.TIME_TO_IN_FORCE_P50,
                count,
                inProcess.secondsToInForceAtPercentile(50));
        recorder.record(
                ScaleSeries.TIME_TO_IN_FORCE_P99,
                count,
                inProcess.secondsToInForceAtPercentile(99));
        recorder.record(ScaleSeries.TIME_TO_IN_FORCE_MAX, count, inProcess.maxSecondsToInForce());
    }

    private void recordMetrics(
            int count,
            double seconds,
            DiscoveryCallStatistics inProcess,
            DiscoveryCallStatistics process) {
        ScaleRecorder recorder = environment.recorder();
        recorder.record(
                ScaleMetric.IN_PROCESS_CALLS_PER_SECOND, inProcess.calls() / seconds / count);
        recorder.record(ScaleMetric.PROCESS_CALLS_PER_SECOND, process.calls() / seconds);
        recorder.record(
                ScaleMetric.IN_PROCESS_TIME_TO_IN_FORCE_P50_SECONDS,
                inProcess.secondsToInForceAtPercentile(50));
        recorder.record(
                ScaleMetric.PROCESS_TIME_TO_IN_FORCE_P50_SECONDS,
                process.secondsToInForceAtPercentile(50));
    }

    /** Restarts discovery with a capacity that simultaneous calls of all dispatchers exceed. */
    private void measureDiscoveryRestart(DispatcherBench bench, int inProcessCount)
            throws IOException, RehearsalException {
        RateLimitedDiscovery discovery = bench.discovery();
        DiscoveryCallStatistics statistics =
                discovery.statistics(RateLimitedDiscovery.Caller.IN_PROCESS);
        environment.callOnLoop(
                () -> {
                    discovery.setCallsPerSecond(
                            RESTART_CALLS_PER_SECOND_PER_DISPATCHER * inProcessCount);
                    statistics.clear();
                    discovery.restart(RESTART_DOWNTIME_SECONDS);
                    discovery.changeEndpoints(1);
                    return null;
                });
        ScaleEnvironment.sleepMillis((long) (RESTART_DOWNTIME_SECONDS * MILLIS_PER_SECOND));
        long availableNanos = System.nanoTime();
        bench.awaitCondition(
                () ->
                        discovery.connectionCount() >= inProcessCount + 1
                                && discovery.connectionsBehind() == 0,
                "not all dispatchers reconnected after the restart of discovery");
        ScaleRecorder recorder = environment.recorder();
        recorder.record(
                ScaleMetric.DISCOVERY_RECOVERY_SECONDS,
                (System.nanoTime() - availableNanos) / NANOS_PER_SECOND);
        recorder.record(
                ScaleMetric.DISCOVERY_RECOVERY_CALLS,
                environment.callOnLoop(() -> (double) statistics.calls()));
        environment.reportProgress("discovery restarted under " + inProcessCount + " dispatchers");
    }
}
