package wheelroute.decision;

/**
 * One worker as the endpoint list names it.
 *
 * @param weight how much it can do beside the others; no unit
 * @param startedAt when its process last started, in seconds; NaN when that is long past
 * @param cell workers of one cell know each other's idempotency keys
 */
public record Endpoint(
        Ids.Worker worker,
        Ids.Model model,
        double weight,
        Ids.Zone zone,
        double startedAt,
        Ids.Cell cell,
        State state) {
    /** Whether the worker takes new requests. */
    public enum State {
        /** It takes requests. */
        READY,
        /** It finishes what it has and takes nothing new. */
        DRAINING,
        /** It has left the list. */
        REMOVED
    }
}
