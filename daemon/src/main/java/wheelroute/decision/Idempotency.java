package wheelroute.decision;

/** What a second run of a request would do. */
public enum Idempotency {
    /** It may run again. */
    IDEMPOTENT,
    /**
     * It carries an idempotency key by which the workers of its scope know a repeat, for a while.
     */
    IDEMPOTENT_BY_KEY,
    /** It must never run twice. */
    NON_IDEMPOTENT
}
