package wheelroute.kit.model;

/** Who hears how a submission ended. */
public interface ResponseListener {
    /** An answer has come, whole; advice to return of 0 is none. */
    void answered(ClientAttempt submitted, FinalResponse answer, double retryAfter);

    /** It reached nobody: trying again does no harm. */
    void refused(ClientAttempt submitted);

    /** The connection ended before an answer. */
    void cutOff(ClientAttempt submitted);
}
