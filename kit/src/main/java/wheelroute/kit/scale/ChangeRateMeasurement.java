package wheelroute.kit.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import wheelroute.kit.process.RehearsalException;

/** Measures CPU use and received bytes of an idle dispatcher by the rate of endpoint changes. */
final class ChangeRateMeasurement implements ScaleMeasurement {
    private final ScaleEnvironment environment;

    ChangeRateMeasurement(ScaleEnvironment environment) {
        this.environment = environment;
    }

    @Override
    public List<Point> points() {
        List<Point> points = new ArrayList<>();
        for (double changesPerSecond : environment.plan().changesPerSecond()) {
            points.add(() -> measure(changesPerSecond));
        }
        return points;
    }

    private void measure(double changesPerSecond) throws IOException, RehearsalException {
        try (DispatcherBench bench =
                new DispatcherBench(environment, ScalePlan.BASELINE_WORKERS, 0)) {
            bench.startChanges(changesPerSecond);
            DispatcherBench.ResourceUse use =
                    bench.measureUse(environment.plan().averagingSeconds());
            ScaleRecorder recorder = environment.recorder();
            recorder.record(ScaleSeries.CHANGES_CPU, changesPerSecond, use.cores());
            recorder.record(
                    ScaleSeries.CHANGES_BYTES, changesPerSecond, use.discoveryBytesPerSecond());
            environment.reportProgress(
                    String.format(
                            Locale.ROOT,
                            "%.0f endpoint changes/s: %.4f cores, %.0f bytes/s",
                            changesPerSecond,
                            use.cores(),
                            use.discoveryBytesPerSecond()));
        }
    }
}
