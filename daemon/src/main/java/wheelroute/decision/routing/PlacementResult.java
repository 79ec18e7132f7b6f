package wheelroute.decision.routing;

/** The result of placing a request. */
public enum PlacementResult {
    ATTEMPT_STARTED,
    /** No further attempt was started, and an earlier one is still in flight. */
    AWAITING_ATTEMPT,
    /**
     * The request was answered by {@code rejectOrFail}, because {@code RetryRules.permitAttempt}
     * permitted no further attempt.
     */
    ATTEMPT_NOT_PERMITTED,
    /**
     * The request was answered by {@code rejectOrFail}, because no worker is ready or {@link
     * WorkerEligibility} excludes all workers.
     */
    NO_ELIGIBLE_WORKER,
    /**
     * The request was answered by {@code rejectOrFail}, because {@code Admission.decide} admitted
     * it at no worker.
     */
    WAIT_TOO_LONG
}
