package wheelroute.decision;

/**
 * An attempt that may have run, of an earlier request that this one repeats. The client has sent
 * the request again, with its id or its idempotency key.
 *
 * @param zone the zone of the worker; null if it is not known any more, so that no worker can be
 *     shown to be in it
 * @param cell the cell of the worker; null if the zone is null
 * @param sentAt the time at which the attempt was sent, in seconds
 */
public record EarlierAttempt(Ids.Zone zone, Ids.Cell cell, double sentAt) {
    /** Returns an attempt at a worker whose zone and cell are not known any more. */
    public static EarlierAttempt atUnknownWorker(double sentAt) {
        return new EarlierAttempt(null, null, sentAt);
    }
}
