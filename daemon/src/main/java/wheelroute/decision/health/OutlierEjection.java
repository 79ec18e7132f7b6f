package wheelroute.decision.health;

import wheelroute.decision.Idempotency;
import wheelroute.decision.Outcome;
import wheelroute.decision.retry.ErrorAttribution;
import wheelroute.decision.state.DecisionClock;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;
import wheelroute.decision.state.WorkerTable;

/**
 * Ejects workers that fail repeatedly or stop responding. An ejected worker returns after three
 * successes in a row, not by time. It gets trials: one attempt at a time, never of a non-idempotent
 * request, after a delay that doubles with each further failure.
 *
 * @param removalIsAdvisory only a drain forbids sending to a worker, its removal does not
 */
public record OutlierEjection(
        DecisionClock clock,
        WorkerTable workers,
        ErrorAttribution errorAttribution,
        boolean removalIsAdvisory) {
    /** From an ejection to the first trial. */
    public static final double FIRST_TRIAL_DELAY_SECONDS = 0.5;

    private static final double MAX_TRIAL_DELAY_SECONDS = 4;

    /** Failures count for this long, or until as many successes in a row as reinstate a worker. */
    private static final double FAILURE_MEMORY_SECONDS = 10;

    /** More recent failures than this eject a worker: a single one is no pattern. */
    private static final int MAX_RECENT_FAILURES = 1;

    /** Several, because a worker that fails most of its attempts still has single successes. */
    private static final int SUCCESSES_TO_REINSTATE = 3;

    /** A worker that rejected an attempt or could not be connected to gets none for this long. */
    private static final double BACKOFF_SECONDS = 0.3;

    /** An ejected worker is a fallback only this long after its last success. */
    private static final double FALLBACK_EVIDENCE_SECONDS = 1.5;

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
                if (!errorAttribution.blamesRequests()) {
                    onFailure(worker);
                }
            }
            case CONNECT_FAILED -> {
                // Whether it is down, unreachable or out of connections, that lasts for a while.
                worker.health().backOffUntil(now + BACKOFF_SECONDS);
                onFailure(worker);
            }
            case CONNECTION_LOST, UNKNOWN -> onFailure(worker);
            case TIMED_OUT, CANCELLED, NOT_SENT, STALE_CONNECTION, INVALID_REQUEST -> {
                // Says nothing about the worker.
            }
        }
    }

    /** Returns the number of failures that still count against the worker. */
    public int recentFailures(WorkerState worker) {
        return worker.statistics().failuresSince(clock.now() - FAILURE_MEMORY_SECONDS);
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
     * Takes a worker out of use that has left the endpoint list. Where removals are advisory the
     * list may be wrong about that: then the worker is ejected, and gets attempts on trial.
     */
    public void onRemoved(WorkerState worker) {
        worker.setReady(worker.isReady() && removalIsAdvisory);
        if (worker.isReady() && !worker.isRetainedAfterRemoval()) {
            worker.setRetainedAfterRemoval(true);
            worker.health().eject();
            worker.health().scheduleTrial(clock.now(), worker.health().trialDelaySeconds());
        }
    }

    /** Ejects a worker that has stopped responding, however few failures it had before. */
    void onUnresponsive(WorkerState worker) {
        onFailure(worker);
        worker.health().markUnresponsive();
    }

    /**
     * Ejects or reinstates a worker by the failures that were recorded by a predecessor process.
     */
    public void restore(WorkerState worker) {
        worker.health().restore(recentFailures(worker) > MAX_RECENT_FAILURES);
    }

    /**
     * Whether the worker may get this request: if it is ejected, only as a trial when one is due,
     * and no request that must not be retried.
     */
    public boolean admits(WorkerState worker, TrackedRequest request) {
        WorkerHealth health = worker.health();
        return !health.isEjected()
                || (health.isTrialDue(clock.now())
                        && worker.inFlight().isEmpty()
                        && request.settings().idempotency() != Idempotency.NON_IDEMPOTENT);
    }

    /**
     * Whether an ejected worker may get a request that would be rejected otherwise: it answers some
     * requests, and an error there can be retried anywhere.
     */
    public boolean admitsAsFallback(WorkerState worker, TrackedRequest request) {
        WorkerHealth health = worker.health();
        return !health.isUnresponsive()
                && clock.now() - health.lastSuccessAt() < FALLBACK_EVIDENCE_SECONDS
                && worker.inFlight().size() < worker.estimates().slots()
                && request.settings().isSafeToRetryAnywhere();
    }
}
