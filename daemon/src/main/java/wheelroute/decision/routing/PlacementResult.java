package wheelroute.decision.routing;

/** What became of a request that was to be placed. All but the first two are its final answer. */
public enum PlacementResult {
    ATTEMPT_STARTED,
    /** No further attempt was started, and one is still in flight. */
    AWAITING_ATTEMPT,
    /** See {@code RetryRules.permitAttempt}. */
    ATTEMPT_NOT_PERMITTED,
    /** See {@link WorkerEligibility}. */
    NO_ELIGIBLE_WORKER,
    /** See {@code Admission.decide}. */
    WAIT_TOO_LONG
}
