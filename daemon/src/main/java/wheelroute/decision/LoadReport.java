package wheelroute.decision;

/**
 * A worker's own figures, late and noisy; NaN where it tells nothing.
 *
 * @param freeSlots slots without a job
 * @param queued jobs that wait for one
 */
public record LoadReport(double freeSlots, double queued) {
    public static final LoadReport NOTHING = new LoadReport(Double.NaN, Double.NaN);
}
