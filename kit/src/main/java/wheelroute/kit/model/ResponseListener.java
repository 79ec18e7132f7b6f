package wheelroute.kit.model;

/** Receives the responses to clients' attempts, and the failures of their connections. */
public interface ResponseListener {
    /**
     * Called when a complete final response has arrived.
     *
     * @param retryAfterSeconds the least delay before a retry; 0 if the response has none
     */
    void onResponse(ClientAttempt clientAttempt, FinalResponse response, double retryAfterSeconds);

    /** Called when a connection was refused; a retry is safe, as no dispatcher has the attempt. */
    void onRefused(ClientAttempt clientAttempt);

    /** Called when a connection ended before a response; the attempt may have run. */
    void onConnectionLost(ClientAttempt clientAttempt);
}
