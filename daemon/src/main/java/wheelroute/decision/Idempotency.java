package wheelroute.decision;

/** The conditions under which a request may run more than once. */
public enum Idempotency {
    /** The request may run any number of times. */
    IDEMPOTENT,
    /**
     * The request has an idempotency key, by which the workers of an {@link IdempotencyScope}
     * recognize a repeat for a limited time.
     */
    IDEMPOTENT_BY_KEY,
    /** The request must never run twice. */
    NON_IDEMPOTENT
}
