package wheelroute.decision;

/**
 * An attempt that may have run, of an earlier request with the same id. The client has sent the
 * request again, as it has left or has lost its connection.
 *
 * @param zone the zone of the worker
 * @param cell the cell of the worker
 * @param sentAt the time at which the attempt was sent, in seconds
 */
public record EarlierAttempt(Ids.Zone zone, Ids.Cell cell, double sentAt) {}
