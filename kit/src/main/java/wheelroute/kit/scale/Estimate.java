package wheelroute.kit.scale;

import java.util.Locale;

/**
 * An extrapolated value.
 *
 * @param error standard error of the value
 */
record Estimate(double value, double error) {
    /**
     * Half-width of the confidence interval in standard errors; the true value is within the
     * interval in 19 of 20 cases.
     */
    private static final double CONFIDENCE_STANDARD_ERRORS = 2;

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int MAX_DECIMALS = 9;

    Estimate plus(Estimate other) {
        return new Estimate(value + other.value, Math.hypot(error, other.error));
    }

    Estimate times(double factor) {
        return new Estimate(value * factor, error * factor);
    }

    /** Returns whether the entire confidence interval is within a bound. */
    boolean isConfidentlyWithin(double bound) {
        return value + CONFIDENCE_STANDARD_ERRORS * error <= bound;
    }

    private boolean confidentlyExceeds(double bound) {
        return value - CONFIDENCE_STANDARD_ERRORS * error > bound;
    }

    /** Returns "fits", "over, N times" or "not certain", depending on how the value compares. */
    String comparedTo(double bound) {
        if (isConfidentlyWithin(bound)) {
            return "fits";
        }
        return confidentlyExceeds(bound)
                ? "over, " + formatNumber(value / bound) + " times"
                : "not certain";
    }

    /** Returns the value with its standard error. */
    String text() {
        return formatNumber(value) + " ± " + formatNumber(error);
    }

    /** Returns a number with three significant digits, without an exponent. */
    static String formatNumber(double value) {
        if (value == Math.rint(value)) {
            return String.format(Locale.ROOT, "%.0f", value);
        }
        int decimals =
                (int) Math.max(0, SIGNIFICANT_DIGITS - 1 - Math.floor(Math.log10(Math.abs(value))));
        return String.format(Locale.ROOT, "%." + Math.min(MAX_DECIMALS, decimals) + "f", value);
    }
}
