package wheelroute.kit.scale;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import wheelroute.kit.process.RehearsalException;

/** Measures CPU use of a dispatcher by the rate of attempts. */
final class AttemptRateMeasurement implements ScaleMeasurement {
    private final ScaleEnvironment environment;

    AttemptRateMeasurement(ScaleEnvironment environment) {
        this.environment = environment;
    }

    @Override
    public List<Point> points() {
        return ScaleMeasurement.largestFirst(environment.plan().attemptsPerSecond(), this::measure);
    }

    private void measure(int attemptsPerSecond) throws IOException, RehearsalException {
        try (DispatcherBench bench =
                new DispatcherBench(environment, ScalePlan.BASELINE_WORKERS, 0)) {
            bench.warmUp(0);
            double cpuSeconds =
                    bench.measureAttempts(
                            attemptsPerSecond, environment.plan().averagingSeconds(), 0);
            double cores = cpuSeconds * attemptsPerSecond;
            environment.recorder().record(ScaleSeries.ATTEMPT_RATE_CPU, attemptsPerSecond, cores);
            environment.reportProgress(
                    String.format(
                            Locale.ROOT, "%d attempts/s: %.4f cores", attemptsPerSecond, cores));
        }
    }
}
