package wheelroute.decision.health;

import wheelroute.decision.Idempotency;
import wheelroute.decision.Outcome;
import wheelroute.decision.retry.ErrorAttribution;
import wheelroute.decision.state.DecisionClock;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;
import wheelroute.decision.state.WorkerTable;

/**
 * Ejects workers that fail repeatedly or stop responding. An ejected worker is reinstated after
 * three successes in a row, never by the passage of time alone. Until then it gets trials, which
 * are single attempts, never of a non-idempotent request, after a delay that doubles with each
 * further failure.
 *
 * @param removalIsAdvisory whether a worker that was removed from the list may still be sent to; a
 *     worker listed as draining never may
 */
public record OutlierEjection(
        DecisionClock clock,
        WorkerTable workers,
        ErrorAttribution errorAttribution,
        boolean removalIsAdvisory) {
    /** The delay from an ejection to the first trial. */
    public static final double FIRST_TRIAL_DELAY_SECONDS = 0.5;

    private static final double MAX_TRIAL_DELAY_SECONDS = 4;

    /**
     * The time for which a failure counts, unless as many successes in a row as reinstate a worker
     * come first.
     */
    private static final double FAILURE_WINDOW_SECONDS = 10;

    /**
     * The number of recent failures above which a worker is ejected. A single failure is not a
     * pattern.
     */
    private static final int MAX_RECENT_FAILURES = 1;

    /**
     * The number of successes in a row that reinstate a worker. One is not enough, because a worker
     * that fails most of its attempts still has single successes.
     */
    private static final int SUCCESSES_TO_REINSTATE = 3;

    /**
     * The time for which a worker gets no attempts after it rejected one or could not be connected
     * to.
     */
    private static final double BACKOFF_SECONDS = 0.3;

    /** The time after its last success for which an ejected worker is a fallback. */
    private static final double MAX_FALLBACK_SUCCESS_AGE_SECONDS = 1.5;

    /** Records the end of an attempt, which may eject or reinstate its worker. */
    public void onOutcome(WorkerState worker, Outcome outcome) {
        double now = clock.now();
        switch (outcome) {
            case SUCCEEDED -> onSuccess(worker);
            case REJECTED -> {
                worker.health().recordResponse(now);
                worker.health().backOffUntil(now + BACKOFF_SECONDS);
            }
            case FAILED -> {
                worker.health().recordResponse(now);
                if (!errorAttribution.areRequestsAtFault()) {
                    onFailure(worker);
                }
            }
            case CONNECT_FAILED -> {
                // A worker that is down, unreachable or out of connections stays so for a while.
                worker.health().backOffUntil(now + BACKOFF_SECONDS);
                onFailure(worker);
            }
            case CONNECTION_LOST, UNKNOWN -> onFailure(worker);
            case TIMED_OUT, CANCELLED, NOT_SENT, STALE_CONNECTION, INVALID_REQUEST -> {
                // These outcomes say nothing about the health of the worker.
            }
        }
    }

    /** Returns the number of failures that still count against the worker. */
    public int recentFailures(WorkerState worker) {
        return worker.statistics().failuresSince(clock.now() - FAILURE_WINDOW_SECONDS);
    }

    private void onFailure(WorkerState worker) {
        double now = clock.now();
        worker.statistics().recordFailure(now);
        WorkerHealth health = worker.health();
        health.recordFailure();
        if (worker.isRetainedAfterRemoval()) {
            worker.setReady(false);
            workers.ready().remove(worker);
        }
        if (health.isEjected() || recentFailures(worker) > MAX_RECENT_FAILURES) {
            health.eject();
            double nextDelaySeconds = 2 * health.trialDelaySeconds();
            health.scheduleTrial(now, Math.min(MAX_TRIAL_DELAY_SECONDS, nextDelaySeconds));
        }
    }

    private void onSuccess(WorkerState worker) {
        if (worker.health().recordSuccess(clock.now()) >= SUCCESSES_TO_REINSTATE) {
            worker.health().reinstate(FIRST_TRIAL_DELAY_SECONDS);
            worker.statistics().clearFailures();
        }
    }

    /**
     * Handles the removal of a worker from the endpoint list. If removals are not advisory, the
     * worker gets no more attempts. If they are, the list may be wrong, so a ready worker is
     * ejected and gets attempts on trial.
     */
    public void onRemoved(WorkerState worker) {
        worker.setReady(worker.isReady() && removalIsAdvisory);
        if (worker.isReady() && !worker.isRetainedAfterRemoval()) {
            worker.setRetainedAfterRemoval(true);
            worker.health().eject();
            worker.health().scheduleTrial(clock.now(), worker.health().trialDelaySeconds());
        }
    }

    /** Ejects a worker that has stopped responding, regardless of its number of recent failures. */
    void onUnresponsive(WorkerState worker) {
        onFailure(worker);
        worker.health().markUnresponsive();
    }

    /**
     * Ejects or reinstates a worker according to the failures that a predecessor process recorded.
     */
    public void restore(WorkerState worker) {
        worker.health().restore(recentFailures(worker) > MAX_RECENT_FAILURES);
    }

    /**
     * Returns whether the worker may get this request. An ejected worker may get a request only as
     * a trial that is due, and no non-idempotent request.
     */
    public boolean admits(WorkerState worker, TrackedRequest request) {
        WorkerHealth health = worker.health();
        return !health.isEjected()
                || (health.isTrialDue(clock.now())
                        && worker.inFlight().isEmpty()
                        && request.settings().idempotency() != Idempotency.NON_IDEMPOTENT);
    }

    /**
     * Returns whether an ejected worker may get a request that would be rejected otherwise. The
     * worker must still answer some requests, and it must be safe to retry the request on any
     * worker after an error.
     */
    public boolean admitsAsFallback(WorkerState worker, TrackedRequest request) {
        WorkerHealth health = worker.health();
        return !health.isUnresponsive()
                && clock.now() - health.lastSuccessAt() < MAX_FALLBACK_SUCCESS_AGE_SECONDS
                && worker.inFlight().size() < worker.estimates().slots()
                && request.settings().isSafeToRetryAnywhere();
    }
}
