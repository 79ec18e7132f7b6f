package wheelroute.decision;

/**
 * Carries out the decisions of a {@link Policy}. The policy calls these methods on its own thread,
 * while it handles the event that led to the decision. An implementation must not call the policy
 * before the call for that event has returned.
 */
public interface ActionHandler {
    /**
     * Sends a request to a worker. Attempts of one request are numbered from 0 in the order of
     * these calls.
     *
     * @param limitSeconds the time after which the attempt ends without an answer; 0 if only the
     *     request's deadline limits the attempt
     */
    void startAttempt(Ids.Request request, Ids.Worker worker, double limitSeconds);

    /**
     * Sends the final answer that the request did not run, or that a retry is safe.
     *
     * @param retryAfterSeconds the time after which a retry may succeed; 0 to send no such advice
     */
    void reject(Ids.Request request, double retryAfterSeconds);

    /** Sends the final answer that the request failed and may have run. */
    void fail(Ids.Request request);

    /** Cancels an attempt in flight, whose end is then reported like any other. */
    void cancelAttempt(Ids.Request request, int attempt);

    /** Schedules a call of {@link Policy#onWakeup} after the delay. */
    void scheduleWakeup(double delaySeconds);

    /**
     * Starts to watch the endpoint list. The present list and every later change are reported to
     * the policy.
     */
    void watchEndpoints();
}
