package wheelroute.decision.admission;

/** Whether a request may wait for a worker, or else the reason why not. */
public enum AdmissionDecision {
    ADMITTED,
    /** The expected wait at the worker is longer than the request may wait. */
    WAIT_TOO_LONG,
    /**
     * With the time spent in the queue of its key, the wait is longer than the objective allows.
     */
    QUEUED_TOO_LONG
}
