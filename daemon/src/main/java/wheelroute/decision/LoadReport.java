package wheelroute.decision;

/**
 * A worker's own figures, late and noisy.
 *
 * @param freeSlots NaN where it tells nothing
 */
public record LoadReport(double freeSlots) {
    /** A report that tells nothing. */
    public static final LoadReport NONE = new LoadReport(Double.NaN);
}
