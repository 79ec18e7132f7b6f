package wheelroute.kit.scale;

import java.util.Locale;

/**
 * An extrapolated figure.
 *
 * @param error its standard error
 */
record Estimate(double value, double error) {
    /** Standard errors on either side: the true figure is within them in 19 of 20 cases. */
    private static final double CONFIDENCE_ERRORS = 2;

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int MAX_DECIMALS = 9;

    Estimate plus(Estimate other) {
        return new Estimate(value + other.value, Math.hypot(error, other.error));
    }

    Estimate times(double factor) {
        return new Estimate(value * factor, error * factor);
    }

    /** Whether the figure is within a bound even if the error is against it. */
    boolean fits(double bound) {
        return value + CONFIDENCE_ERRORS * error <= bound;
    }

    private boolean exceeds(double bound) {
        return value - CONFIDENCE_ERRORS * error > bound;
    }

    /** Returns how the figure compares to a bound: "fits", "over, N times" or "not certain". */
    String comparedTo(double bound) {
        if (fits(bound)) {
            return "fits";
        }
        return exceeds(bound) ? "over, " + digits(value / bound) + " times" : "not certain";
    }

    /** Returns the figure with its standard error. */
    String text() {
        return digits(value) + " ± " + digits(error);
    }

    /** Returns a number with three significant digits, without an exponent. */
    static String digits(double value) {
        if (value == Math.rint(value)) {
            return String.format(Locale.ROOT, "%.0f", value);
        }
        int decimals =
                (int) Math.max(0, SIGNIFICANT_DIGITS - 1 - Math.floor(Math.log10(Math.abs(value))));
        return String.format(Locale.ROOT, "%." + Math.min(MAX_DECIMALS, decimals) + "f", value);
    }
}
