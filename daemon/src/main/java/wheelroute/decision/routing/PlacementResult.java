package wheelroute.decision.routing;

/** What became of a request that was to be placed. */
public enum PlacementResult {
    ATTEMPT_STARTED,
    /** No further attempt was started, and one is still in flight. */
    AWAITING_ATTEMPT,
    /**
     * Answered by {@code rejectOrFail}; the reason is the result of {@code
     * RetryRules.permitAttempt}.
     */
    ATTEMPT_NOT_PERMITTED,
    /**
     * Answered by {@code rejectOrFail}; no worker is ready, or {@link WorkerEligibility} excludes
     * all.
     */
    NO_ELIGIBLE_WORKER,
    /** Answered by {@code rejectOrFail}; the reason is the result of {@code Admission.decide}. */
    WAIT_TOO_LONG
}
