package wheelroute.decision.admission;

/** Admission of a request to the queue of a worker, or the reason for refusing it. */
public enum AdmissionDecision {
    ADMITTED,
    /** The expected wait at the worker is longer than the request may wait. */
    WAIT_TOO_LONG,
    /**
     * The wait, including the time spent in the queue of the key, is longer than the objective
     * allows.
     */
    QUEUED_TOO_LONG
}
