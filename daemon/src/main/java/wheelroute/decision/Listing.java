package wheelroute.decision;

/**
 * One worker as the list names it.
 *
 * @param size how much it can do beside the others; no unit
 * @param startedAt when its process last started, in seconds; NaN when long past
 */
public record Listing(
        Ids.Worker worker,
        Ids.Model model,
        double size,
        Ids.Zone zone,
        double startedAt,
        Ids.Cell cell,
        Readiness readiness) {
    /** Whether the worker takes new launches. */
    public enum Readiness {
        ACTIVE,
        LEAVING,
        GONE
    }
}
