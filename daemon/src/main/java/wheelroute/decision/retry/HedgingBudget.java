package wheelroute.decision.retry;

/**
 * Limits the hedged requests, and the retries after a cancel, to a fraction of the accepted
 * requests: where many workers stall at the same time, unlimited hedging would add to their load.
 */
public final class HedgingBudget {
    private static final double HEDGES_PER_REQUEST = 0.04;
    private static final double MAX_HEDGES = 2;

    private double available;

    /** Creates an empty budget. */
    public HedgingBudget() {}

    /** Adds to the budget for an accepted request. */
    public void onRequestAccepted() {
        available = Math.min(MAX_HEDGES, available + HEDGES_PER_REQUEST);
    }

    boolean allowsHedge() {
        return available >= 1;
    }

    void spend() {
        available -= 1;
    }
}
