package wheelroute.decision;

/** What a repeat of a submission would do. */
public enum Idempotency {
    /** It may run again. */
    IDEMPOTENT,
    /** It carries a mark by which the workers of its group know a repeat, for a while. */
    IDEMPOTENT_BY_KEY,
    /** It must never run twice. */
    NON_IDEMPOTENT
}
