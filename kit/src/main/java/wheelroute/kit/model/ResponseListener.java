package wheelroute.kit.model;

/** Receives the outcome of clients' attempts. */
public interface ResponseListener {
    /** A complete final response has arrived; a retryAfterSeconds of 0 gives no advice. */
    void onResponse(ClientAttempt clientAttempt, FinalResponse response, double retryAfterSeconds);

    /** The connection was refused: no dispatcher has the attempt, and a retry is safe. */
    void onRefused(ClientAttempt clientAttempt);

    /** The connection ended before a response. */
    void onConnectionLost(ClientAttempt clientAttempt);
}
