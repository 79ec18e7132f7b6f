package wheelroute.decision;

/**
 * Carries out what the policy decides, on whatever protocol. Delays and limits are in seconds.
 * Calls come on the policy's thread, within the event that led to them; an implementation must not
 * call back into the policy before that event's call has returned.
 */
public interface ActionHandler {
    /**
     * Sends a request to a worker. Attempts of one request are numbered from 0 in the order of
     * these calls.
     *
     * @param limit how long its answer is waited for; 0 for as long as the request has
     */
    void startAttempt(Ids.Request request, Ids.Worker worker, double limit);

    /**
     * The final answer that the request never ran, or that a retry does no harm.
     *
     * @param retryAfter when a retry may go better; 0 for no advice
     */
    void reject(Ids.Request request, double retryAfter);

    /** The final answer that the request may have run. */
    void fail(Ids.Request request);

    /** Ends an attempt that is in flight; its end is reported like any other. */
    void cancelAttempt(Ids.Request request, int attempt);

    /** Calls {@link Policy#onWakeup} after the delay. */
    void scheduleWakeup(double delay);

    /** Asks for the endpoint list and its changes from now on, with what was missed. */
    void watchEndpoints();
}
