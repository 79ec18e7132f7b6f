package wheelroute.decision.retry;

/** Permission for one more attempt of a request, or the reason for refusing it. */
public enum AttemptPermission {
    ALLOWED,
    /** The endpoint list has not been confirmed for too long; see {@code EndpointLease}. */
    ENDPOINT_LEASE_EXPIRED,
    /**
     * The request has its answer or needs none, part of a result was sent to its client, or a
     * worker found the request to be invalid.
     */
    REQUEST_CLOSED,
    /**
     * The request has failed, and errors are attributed to requests now; see {@link
     * ErrorAttribution}.
     */
    REQUEST_AT_FAULT,
    ATTEMPTS_EXHAUSTED,
    /** An attempt is in flight, and the settings forbid hedging. */
    HEDGING_FORBIDDEN,
    /** Too little time is left before the deadline. */
    DEADLINE_TOO_CLOSE,
    /** The request is not idempotent, and an attempt of it may have run. */
    MAY_HAVE_RUN
}
