package wheelroute.decision;

/** A worker's own figures, late and noisy; NaN where it tells nothing. */
public record LoadReport(double freeSlots) {
    public static final LoadReport NONE = new LoadReport(Double.NaN);
}
