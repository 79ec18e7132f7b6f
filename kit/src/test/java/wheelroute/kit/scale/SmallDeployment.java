package wheelroute.kit.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** A small deployment and exact cost lines, with values that allow mental arithmetic. */
final class SmallDeployment {
    static final String TOML =
            """
            name = "small"
            workers = 1000
            starts_per_s = 100
            running = 2000
            teams = 10
            zones = 4
            changes_per_day = 86400
            in_force_s = 17
            dispatchers = [10]
            core_share = 0.1
            memory_mb = 128
            control_bytes_per_s = 1000
            machines = 5
            machine_cores = 8
            machine_memory_mb = 1000
            cores_in_use = 0.5
            failures_per_day = 432
            restarts_per_day = 0.001
            rack_workers = 40
            cut_s = 100
            """;

    private static final double[] SIZES = {10, 20, 30, 40};

    private SmallDeployment() {}

    /** Returns results whose lines have no error; series that are not set here are 0. */
    static ScaleResults results() {
        Map<ScaleSeries, double[]> interceptAndSlope = new EnumMap<>(ScaleSeries.class);
        interceptAndSlope.put(ScaleSeries.IDLE_CPU, new double[] {0.001, 0.000001});
        interceptAndSlope.put(ScaleSeries.ATTEMPT_CPU, new double[] {0.001, 0.000002});
        interceptAndSlope.put(ScaleSeries.FIRST_ATTEMPTS_CPU, new double[] {0.001, 0});
        interceptAndSlope.put(ScaleSeries.MEMORY, new double[] {40, 0.01});
        interceptAndSlope.put(ScaleSeries.TIME_TO_READY, new double[] {0.3, 0});
        interceptAndSlope.put(ScaleSeries.TIME_TO_ENDPOINT_LIST, new double[] {0.4, 0});
        interceptAndSlope.put(ScaleSeries.COMPLETE_LIST_BYTES, new double[] {0, 100});
        interceptAndSlope.put(ScaleSeries.CHANGES_CPU, new double[] {0, 0.002});
        interceptAndSlope.put(ScaleSeries.CHANGES_BYTES, new double[] {0, 200});
        interceptAndSlope.put(ScaleSeries.IN_FLIGHT_CPU, new double[] {0, 0.00001});
        interceptAndSlope.put(ScaleSeries.IN_FLIGHT_MEMORY, new double[] {0, 0.05});
        interceptAndSlope.put(ScaleSeries.TENANTS_CPU, new double[] {0, 0.00001});
        interceptAndSlope.put(ScaleSeries.BATCH_CPU, new double[] {0, 0.0001});
        interceptAndSlope.put(ScaleSeries.BATCH_TIME_TO_IN_FORCE, new double[] {0, 0.0001});
        interceptAndSlope.put(ScaleSeries.DISCOVERY_CALLS, new double[] {0, 1});
        interceptAndSlope.put(ScaleSeries.DISCOVERY_BYTES, new double[] {0, 200});
        Map<String, LinearFit> fits = new LinkedHashMap<>();
        for (ScaleSeries series : ScaleSeries.values()) {
            double[] line = interceptAndSlope.getOrDefault(series, new double[] {0, 0});
            LinearFit fit = LinearFitTest.line(line[0], line[1], 0, 1, SIZES);
            fits.put(series.key(), LinearFit.of(series.key(), "x", "y", fit.points()));
        }
        return new ScaleResults("", "test machine", fits, metrics());
    }

    private static Map<String, Double> metrics() {
        Map<String, Double> metrics = new LinkedHashMap<>();
        for (ScaleMetric metric : ScaleMetric.values()) {
            metrics.put(metric.key(), 1.0);
        }
        metrics.put(ScaleMetric.DISCOVERY_RECOVERY_CALLS.key(), 9.0);
        return metrics;
    }

    /** Returns the size read from the TOML text with one part replaced. */
    static DeploymentSize sizeWith(String text, String replacement) throws IOException {
        return DeploymentSize.read(fileWith(text, replacement));
    }

    static Path fileWith(String text, String replacement) throws IOException {
        return Files.writeString(
                Files.createTempFile("size", ".toml"), TOML.replace(text, replacement));
    }

    static DeploymentSize size() throws IOException {
        return sizeWith("", "");
    }

    static Map<String, String> tables() throws IOException {
        return new CapacityModel(results(), size()).tables();
    }
}
