package wheelroute.decision;

/**
 * Carries out the decisions of a {@link Policy}. Calls come on the policy's thread, within the
 * event that led to them; an implementation must not call the policy before that event's call has
 * returned.
 */
public interface ActionHandler {
    /**
     * Sends a request to a worker. Attempts of one request are numbered from 0 in the order of
     * these calls.
     *
     * @param limitSeconds the time after which the attempt ends without an answer; 0 for the
     *     request's deadline
     */
    void startAttempt(Ids.Request request, Ids.Worker worker, double limitSeconds);

    /**
     * Gives the final answer that the request did not run, or that a retry does no harm.
     *
     * @param retryAfterSeconds the time after which a retry may succeed; 0 for no advice
     */
    void reject(Ids.Request request, double retryAfterSeconds);

    /** Gives the final answer that the request failed and may have run. */
    void fail(Ids.Request request);

    /** Cancels an attempt in flight; its end is reported like any other. */
    void cancelAttempt(Ids.Request request, int attempt);

    /** Schedules a call of {@link Policy#onWakeup} after the delay. */
    void scheduleWakeup(double delaySeconds);

    /** Starts to watch the endpoint list: its present state, and every change from now on. */
    void watchEndpoints();
}
