package wheelroute.decision;

/**
 * A worker's own report of its load. It may be late and inexact.
 *
 * @param freeSlots NaN where it is not reported
 */
public record LoadReport(double freeSlots) {
    /** An empty report. */
    public static final LoadReport NONE = new LoadReport(Double.NaN);
}
