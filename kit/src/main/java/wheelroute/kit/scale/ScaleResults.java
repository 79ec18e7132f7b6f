package wheelroute.kit.scale;

import java.io.IOException;
import java.util.Map;

/**
 * What a scale run has measured.
 *
 * @param notJudged why nothing may be concluded from it; empty if the results are valid
 * @param machine on which it ran
 * @param fits by the keys of {@link ScaleSeries}
 * @param figures by the keys of {@link ScaleFigure}
 */
public record ScaleResults(
        String notJudged,
        String machine,
        Map<String, LinearFit> fits,
        Map<String, Double> figures) {
    /**
     * Returns the line that was fitted to a series.
     *
     * @throws IllegalArgumentException if the results do not contain it
     */
    public LinearFit fit(ScaleSeries series) {
        return present(fits.get(series.key()), series.key());
    }

    /**
     * Returns a figure that was measured once.
     *
     * @throws IllegalArgumentException if the results do not contain it
     */
    public double figure(ScaleFigure figure) {
        return present(figures.get(figure.key()), figure.key());
    }

    private static <T> T present(T value, String key) {
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
     * Reads results from JSON. Lines are fitted again to the points of the file, so an edited slope
     * has no effect.
     *
     * @throws IOException if the text is not valid JSON of these results
     */
    public static ScaleResults read(String text) throws IOException {
        return ScaleResultsJson.read(text);
    }
}
