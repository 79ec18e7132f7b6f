package wheelroute.decision;

/** How the decisions act on the world, whatever wire is below. Delays and limits in seconds. */
public interface ActionHandler {
    /**
     * Limit 0: until the client gives up. Launches of a submission are numbered from 0 in this
     * order.
     */
    void startAttempt(Ids.Request submission, Ids.Worker worker, double limit);

    /** Final: a retry is harmless. A retryAfter of 0 gives no advice. */
    void reject(Ids.Request submission, double retryAfter);

    /** Final: no promise about the effect. */
    void fail(Ids.Request submission);

    void cancelAttempt(Ids.Request submission, int launch);

    /** Calls {@link Policy#onWakeup} after the delay. */
    void scheduleWakeup(double delay);

    /** Asks for the list's changes from now on, with what was missed. */
    void watchEndpoints();
}
