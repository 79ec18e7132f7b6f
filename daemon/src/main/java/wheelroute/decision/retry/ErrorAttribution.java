package wheelroute.decision.retry;

import wheelroute.decision.estimates.TrafficStatistics;
import wheelroute.decision.state.DecisionClock;

/**
 * Decides whether errors are attributed to the requests or to the workers. While retries of failed
 * requests mostly fail on other workers too, the requests are to blame: no worker is ejected for
 * such an error, and no further attempt is spent on it.
 */
public record ErrorAttribution(DecisionClock clock, TrafficStatistics traffic) {
    /** Retries count for this long, so that the workers are judged anew afterwards. */
    private static final double RETRY_MEMORY_SECONDS = 10;

    /** Retries assumed to have succeeded, so that the first few failures decide nothing. */
    private static final int PRIOR_SUCCESSES = 2;

    /** Whether errors are attributed to the requests now. */
    public boolean blamesRequests() {
        double since = clock.now() - RETRY_MEMORY_SECONDS;
        int retries = traffic.retriesSince(since);
        double failed = traffic.failedRetriesSince(since);
        return failed > (retries + PRIOR_SUCCESSES) / 2.0;
    }
}
