package wheelroute.decision;

/**
 * A worker's entry in the endpoint list.
 *
 * @param weight the worker's capacity relative to that of the other workers
 * @param startedAt the time at which the worker's process last started, in seconds; NaN if that is
 *     long ago
 * @param cell the worker's cell; workers of one cell recognize each other's idempotency keys
 */
public record Endpoint(
        Ids.Worker worker,
        Ids.Model model,
        double weight,
        Ids.Zone zone,
        double startedAt,
        Ids.Cell cell,
        State state) {
    /** The availability of a worker for new requests. */
    public enum State {
        /** The worker accepts new requests. */
        READY,
        /** The worker completes the requests that it has and accepts no new ones. */
        DRAINING,
        /** The worker was removed from the list. */
        REMOVED
    }
}
