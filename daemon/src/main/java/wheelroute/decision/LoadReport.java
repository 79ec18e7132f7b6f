package wheelroute.decision;

/**
 * A worker's own report of its load, which may be late and inexact.
 *
 * @param freeSlots the number of free slots; NaN if the worker does not report it
 */
public record LoadReport(double freeSlots) {
    /** A report without any value. */
    public static final LoadReport NONE = new LoadReport(Double.NaN);
}
