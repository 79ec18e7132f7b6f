package wheelroute.decision;

/**
 * A worker's entry in the endpoint list.
 *
 * @param weight its capacity relative to that of the others
 * @param startedAt when its process last started, in seconds; NaN where that is long ago
 * @param cell workers of one cell recognize each other's idempotency keys
 */
public record Endpoint(
        Ids.Worker worker,
        Ids.Model model,
        double weight,
        Ids.Zone zone,
        double startedAt,
        Ids.Cell cell,
        State state) {
    /** Whether the worker accepts new requests. */
    public enum State {
        /** It accepts requests. */
        READY,
        /** It completes what it has and accepts nothing new. */
        DRAINING,
        /** It was removed from the list. */
        REMOVED
    }
}
