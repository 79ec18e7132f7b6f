package wheelroute.kit.scale;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Collects the results of all measurements of a scale run. Thread-safe. */
final class ScaleRecorder {
    private final Map<ScaleSeries, List<LinearFit.Point>> points = new EnumMap<>(ScaleSeries.class);
    private final Map<ScaleMetric, Double> metrics = new EnumMap<>(ScaleMetric.class);

    /** Adds a point to a series. */
    synchronized void record(ScaleSeries series, double x, double y) {
        points.computeIfAbsent(series, s -> new ArrayList<>()).add(new LinearFit.Point(x, y));
    }

    /** Records a metric, replacing an earlier value. */
    synchronized void record(ScaleMetric metric, double value) {
        metrics.put(metric, value);
    }

    /**
     * Fits a line to each series.
     *
     * @param invalidReason reason why the results are not valid; empty if they are
     * @param machine description of the machine
     * @throws IllegalArgumentException if a series has too few points
     */
    synchronized ScaleResults results(String invalidReason, String machine) {
        Map<String, LinearFit> fits = new LinkedHashMap<>();
        for (ScaleSeries series : ScaleSeries.values()) {
            List<LinearFit.Point> ascending =
                    points.getOrDefault(series, List.of()).stream()
                            .sorted(Comparator.comparingDouble(LinearFit.Point::x))
                            .toList();
            fits.put(
                    series.key(),
                    LinearFit.of(series.key(), series.xLabel(), series.yLabel(), ascending));
        }
        Map<String, Double> metricsByKey = new TreeMap<>();
        metrics.forEach((metric, value) -> metricsByKey.put(metric.key(), value));
        return new ScaleResults(invalidReason, machine, fits, metricsByKey);
    }
}
