package wheelroute.kit.scale;

import java.io.IOException;
import java.util.List;
import wheelroute.kit.process.RehearsalException;

/**
 * Measures the CPU cost of many endpoint changes in one response of discovery, as after the loss of
 * a zone, and the time until the changes are in force.
 */
final class ChangeBatchMeasurement implements ScaleMeasurement {
    private final ScaleEnvironment environment;

    ChangeBatchMeasurement(ScaleEnvironment environment) {
        this.environment = environment;
    }

    @Override
    public List<Point> points() {
        return ScaleMeasurement.largestFirst(environment.plan().changesPerBatch(), this::measure);
    }

    private void measure(int changes) throws IOException, RehearsalException {
        int workers = Math.max(environment.plan().batchWorkerCount(), changes);
        try (DispatcherBench bench = new DispatcherBench(environment, workers, 0)) {
            RateLimitedDiscovery discovery = bench.discovery();
            DiscoveryCallStatistics statistics =
                    discovery.statistics(RateLimitedDiscovery.Caller.PROCESS);
            environment.runOnLoop(statistics::clear);
            double cpuBefore = bench.daemon().cpuSeconds();
            environment.runOnLoop(() -> discovery.changeEndpoints(changes));
            bench.awaitCondition(
                    () -> discovery.connectionsBehind() == 0,
                    "a batch of endpoint changes did not come into force");
            ScaleRecorder recorder = environment.recorder();
            recorder.record(
                    ScaleSeries.BATCH_CPU, changes, bench.daemon().cpuSeconds() - cpuBefore);
            recorder.record(
                    ScaleSeries.BATCH_TIME_TO_IN_FORCE,
                    changes,
                    environment.callOnLoop(statistics::maxSecondsToInForce));
            environment.reportProgress(changes + " endpoint changes in one response");
        }
    }
}
