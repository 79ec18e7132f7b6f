package wheelroute.kit.model;

/** Who hears how a submission ended. */
public interface ResponseListener {
    /** An answer has come, whole; advice to return of 0 is none. */
    void onResponse(ClientAttempt clientAttempt, FinalResponse response, double retryAfter);

    /** It reached nobody: trying again does no harm. */
    void onRefused(ClientAttempt clientAttempt);

    /** The connection ended before an answer. */
    void onConnectionLost(ClientAttempt clientAttempt);
}
