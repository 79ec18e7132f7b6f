package wheelroute.decision.retry;

/**
 * Limits the hedged requests, and the retries after a cancellation, to a fraction of the accepted
 * requests. If many workers stall at the same time, unlimited hedging would add to their load.
 */
public final class HedgingBudget {
    private static final double HEDGES_PER_REQUEST = 0.04;
    private static final double MAX_HEDGES = 2;

    private double available;

    /** Creates an empty budget. */
    public HedgingBudget() {}

    /** Adds the fraction of a hedge that an accepted request allows, up to the maximum. */
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
