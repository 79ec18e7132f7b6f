package wheelroute.decision.retry;

/** Whether one more attempt of a request may be made, or else the reason why not. */
public enum AttemptPermission {
    ALLOWED,
    /** The endpoint list was not confirmed for too long; see {@code EndpointLease}. */
    ENDPOINT_LEASE_EXPIRED,
    /**
     * The request has its answer or needs none, part of a result was sent to its client, or a
     * worker found it to be invalid.
     */
    REQUEST_CLOSED,
    /** It failed, and errors are attributed to requests now; see {@link ErrorAttribution}. */
    REQUEST_BLAMED,
    ATTEMPTS_EXHAUSTED,
    /** An attempt is in flight, and the settings forbid a second one beside it. */
    HEDGING_FORBIDDEN,
    /** Too little time is left before the deadline. */
    DEADLINE_TOO_CLOSE,
    /** It is not idempotent, and an attempt may have run. */
    MAY_HAVE_RUN
}
