package wheelroute.kit.scale;

import static wheelroute.units.TimeUnits.MILLIS_PER_SECOND;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import wheelroute.kit.process.RehearsalException;

/** Measures CPU per attempt by the number of tenants that have a quota. */
final class TenantCountMeasurement implements ScaleMeasurement {
    /** The rate is high enough that the idle cost of the dispatcher is small in comparison. */
    private static final double ATTEMPTS_PER_SECOND = 100;

    private final ScaleEnvironment environment;

    TenantCountMeasurement(ScaleEnvironment environment) {
        this.environment = environment;
    }

    @Override
    public List<Point> points() {
        return ScaleMeasurement.largestFirst(environment.plan().tenantCounts(), this::measure);
    }

    private void measure(int tenants) throws IOException, RehearsalException {
        try (DispatcherBench bench =
                new DispatcherBench(environment, ScalePlan.BASELINE_WORKERS, tenants)) {
            bench.warmUp(tenants);
            double cpuSeconds =
                    bench.measureAttempts(
                            ATTEMPTS_PER_SECOND, environment.plan().averagingSeconds(), tenants);
            environment.recorder().record(ScaleSeries.TENANTS_CPU, tenants, cpuSeconds);
            environment.reportProgress(
                    String.format(
                            Locale.ROOT,
                            "%d tenants: %.3f ms CPU per attempt",
                            tenants,
                            cpuSeconds * MILLIS_PER_SECOND));
        }
    }
}
