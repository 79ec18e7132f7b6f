package wheelroute.kit.scale;

import java.io.IOException;
import java.util.Map;

/**
 * The results of a scale run.
 *
 * @param invalidReason reason why the results are not valid; empty if they are
 * @param machine description of the machine on which the run took place
 * @param fits fitted lines, by the keys of {@link ScaleSeries}
 * @param metrics values that were measured once, by the keys of {@link ScaleMetric}
 */
public record ScaleResults(
        String invalidReason,
        String machine,
        Map<String, LinearFit> fits,
        Map<String, Double> metrics) {
    /**
     * Returns the line that was fitted to a series.
     *
     * @throws IllegalArgumentException if the results do not contain it
     */
    public LinearFit fit(ScaleSeries series) {
        return requirePresent(fits.get(series.key()), series.key());
    }

    /**
     * Returns a metric that was measured once.
     *
     * @throws IllegalArgumentException if the results do not contain it
     */
    public double metric(ScaleMetric metric) {
        return requirePresent(metrics.get(metric.key()), metric.key());
    }

    private static <T> T requirePresent(T value, String key) {
        if (value == null) {
            throw new IllegalArgumentException("the scale results have no '" + key + "'");
        }
        return value;
    }

    /** Returns the results as JSON. */
    public String json() {
        return ScaleResultsJson.write(this);
    }

    /**
     * Reads results from JSON. Lines are fitted anew to the points in the text, so an edited slope
     * has no effect.
     *
     * @throws IOException if the text is not valid JSON or does not contain valid results
     */
    public static ScaleResults read(String text) throws IOException {
        return ScaleResultsJson.read(text);
    }
}
