package wheelroute.decision.retry;

import wheelroute.decision.estimates.TrafficStatistics;
import wheelroute.decision.state.DecisionClock;

/**
 * Attributes errors to the requests or to the workers. While most retries of failed requests fail
 * on other workers too, the requests are at fault, and for such an error no worker is ejected and
 * no further attempt is made.
 */
public record ErrorAttribution(DecisionClock clock, TrafficStatistics traffic) {
    /** The time for which a retry counts. Afterwards the workers are assessed anew. */
    private static final double RETRY_WINDOW_SECONDS = 10;

    /**
     * The number of retries that are assumed to have succeeded, so that the first few failures are
     * not decisive.
     */
    private static final int PRIOR_SUCCESSES = 2;

    /** Returns whether errors are attributed to the requests now. */
    public boolean areRequestsAtFault() {
        double since = clock.now() - RETRY_WINDOW_SECONDS;
        int retries = traffic.retriesSince(since);
        double failed = traffic.failedRetriesSince(since);
        return failed > (retries + PRIOR_SUCCESSES) / 2.0;
    }
}
