package wheelroute.decision;

/**
 * One worker as the list names it.
 *
 * @param weight how much it can do beside the others; no unit
 * @param startedAt when its process last started, in seconds; NaN when long past
 */
public record Endpoint(
        Ids.Worker worker,
        Ids.Model model,
        double weight,
        Ids.Zone zone,
        double startedAt,
        Ids.Cell cell,
        State state) {
    /** Whether the worker takes new launches. */
    public enum State {
        READY,
        DRAINING,
        REMOVED
    }
}
