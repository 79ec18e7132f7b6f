package wheelroute.decision;

/** How the decisions act on the world, whatever wire is below. Delays and limits in seconds. */
public interface Dispatcher {
    /**
     * Limit 0: until the client gives up. Launches of a submission are numbered from 0 in this
     * order.
     */
    void launch(Ids.Submission submission, Ids.Worker worker, double limit);

    /** Final: a retry is harmless. A retryAfter of 0 gives no advice. */
    void bounce(Ids.Submission submission, double retryAfter);

    /** Final: no promise about the effect. */
    void scrap(Ids.Submission submission);

    void cancel(Ids.Submission submission, int launch);

    /** Calls {@link Policy#woken} after the delay. */
    void wake(double delay);

    /** Asks for the list's changes from now on, with what was missed. */
    void watchList();
}
