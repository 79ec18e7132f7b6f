package wheelroute.decision.retry;

import wheelroute.decision.Idempotency;
import wheelroute.decision.Ids;
import wheelroute.decision.Outcome;
import wheelroute.decision.Settings;
import wheelroute.decision.health.OutlierEjection;
import wheelroute.decision.state.Attempt;
import wheelroute.decision.state.DispatcherState;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;

/**
 * Rule 2, no effect twice, and rule 3 where the list is unconfirmed: whether a request may be
 * attempted again, and where, and whether it may be rejected, which tells the client that a retry
 * does no harm.
 */
public final class RetryRules {
    /** No attempt begins with less time left: it could not even reach a worker and come back. */
    private static final double MIN_TIME_LEFT = 0.02;

    /** Taken off the window in which workers know a repeated key, for the way to the worker. */
    private static final double TRANSIT = 0.5;

    /** Retries taken to have succeeded, so that a few errors prove nothing. */
    private static final int PRIOR_SUCCESSES = 2;

    /** What keeps failing on this machine must not be tried for ever. */
    private static final int MAX_UNCOUNTED = 2;

    private final DispatcherState state;

    /** Creates the rules over the state of one dispatcher. */
    public RetryRules(DispatcherState state) {
        this.state = state;
    }

    /** Whether one more attempt anywhere can be right. */
    public boolean mayAttempt(TrackedRequest request) {
        if (state.endpointLease().isExpired(state.now())) {
            return false;
        }
        if (request.isDone() || request.isStreaming() || request.isInvalid()) {
            return false;
        }
        if (request.hasFailed() && errorsFollowRequests()) {
            return false;
        }
        Settings settings = state.settings();
        if (countedAttempts(request) >= settings.maxAttempts()
                || (request.hasInFlight() && !settings.mayHedge())
                || state.now() > request.request().deadline() - MIN_TIME_LEFT) {
            return false;
        }
        return request.settings().idempotency() != Idempotency.NON_IDEMPOTENT
                || !request.mayHaveRun();
    }

    /**
     * Attempts that count against the most that are allowed: one that never left this machine was
     * no worker's, up to a few in a row.
     */
    private static int countedAttempts(TrackedRequest request) {
        int unsent = 0;
        for (int i = 0; i < request.attempts().size(); i++) {
            unsent += request.attempts().get(i).outcome() == Outcome.NOT_SENT ? 1 : 0;
        }
        return request.attempts().size() - Math.min(unsent, MAX_UNCOUNTED);
    }

    /**
     * Whether the next attempt may go to this worker; for a key only where, and while, it is known.
     */
    public boolean mayGoTo(TrackedRequest request, WorkerState worker) {
        for (int i = 0; i < request.attempts().size(); i++) {
            Attempt earlier = request.attempts().get(i);
            boolean refused = earlier.isInFlight() || earlier.outcome() == Outcome.REJECTED;
            if (earlier.worker == worker && refused) {
                return false;
            }
            if (!isRepeatKnown(request.settings(), earlier, worker)) {
                return false;
            }
        }
        Ids.Model model = request.settings().model();
        return model == null || model.equals(worker.endpoint().model());
    }

    /**
     * Whether the worker recognizes the idempotency key of an earlier attempt that may have run.
     */
    private boolean isRepeatKnown(
            Settings.RequestClass requestClass, Attempt earlier, WorkerState worker) {
        if (requestClass.idempotency() != Idempotency.IDEMPOTENT_BY_KEY || !earlier.mayHaveRun()) {
            return true;
        }
        double windowEnd = earlier.sentAt + requestClass.idempotencyWindowSeconds() - TRANSIT;
        return state.now() <= windowEnd
                && requestClass.idempotencyScope().covers(earlier.endpoint, worker.endpoint());
    }

    /** Whether no attempt ran, or a repeat does no harm wherever it runs. */
    public boolean mayReject(TrackedRequest request) {
        return !request.mayHaveRun()
                || (request.settings().isSafeToRetryAnywhere() && !request.isInvalid());
    }

    /**
     * While retries fail as well, an error is its request's fault and not its worker's, and a
     * further attempt is a waste. Looked at anew once these failures are old.
     */
    public boolean errorsFollowRequests() {
        double since = state.now() - OutlierEjection.FAILURE_MEMORY;
        int retries = state.traffic().retriesSince(since);
        double failed = state.traffic().failedRetriesSince(since);
        return failed > (retries + PRIOR_SUCCESSES) / 2.0;
    }
}
