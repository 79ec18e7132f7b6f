package wheelroute.decision;

/** Whether a request may run more than once. */
public enum Idempotency {
    /** It may run any number of times. */
    IDEMPOTENT,
    /**
     * It has an idempotency key, by which the workers of a scope recognize a repeat for a while.
     */
    IDEMPOTENT_BY_KEY,
    /** It must never run twice. */
    NON_IDEMPOTENT
}
