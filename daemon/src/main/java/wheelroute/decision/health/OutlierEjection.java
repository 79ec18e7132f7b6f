package wheelroute.decision.health;

import wheelroute.decision.Idempotency;
import wheelroute.decision.Outcome;
import wheelroute.decision.admission.Admission;
import wheelroute.decision.retry.RetryRules;
import wheelroute.decision.state.DispatcherState;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;

/**
 * Ejects workers that fail often or fall silent, and reinstates them after trials: one attempt at a
 * time, after a delay that doubles with each further failure.
 */
public final class OutlierEjection {
    /** Failures count against a worker for this many seconds. */
    public static final double FAILURE_MEMORY = 10;

    /** Seconds from an ejection to the first trial. */
    public static final double FIRST_TRIAL_DELAY = 0.5;

    /** A worker that rejected an attempt gets none for this many seconds: about a job's time. */
    public static final double REJECTION_BACKOFF = 0.3;

    private static final double MAX_TRIAL_DELAY = 4;

    /** More recent failures than this eject a worker; one can befall any. */
    private static final int FAILURES_TOLERATED = 1;

    /**
     * Successes in a row that reinstate it: fewer, and one that fails two in three gets out by
     * luck.
     */
    private static final int SUCCESSES_TO_REINSTATE = 3;

    private final DispatcherState state;
    private final RetryRules retryRules;

    /** Creates the rule over the state of one dispatcher. */
    public OutlierEjection(DispatcherState state, RetryRules retryRules) {
        this.state = state;
        this.retryRules = retryRules;
    }

    /** What the end of an attempt means for its worker. */
    public void onOutcome(WorkerState worker, Outcome outcome) {
        switch (outcome) {
            case SUCCEEDED -> onSuccess(worker);
            case REJECTED -> {
                worker.health().heard(state.now());
                backOff(worker);
            }
            case FAILED -> {
                worker.health().heard(state.now());
                if (!retryRules.errorsFollowRequests()) {
                    onFailure(worker);
                }
            }
            case CONNECT_FAILED -> {
                // Dead, cut off or out of connections: none of them passes within a moment.
                backOff(worker);
                onFailure(worker);
            }
            case CONNECTION_LOST, UNKNOWN -> onFailure(worker);
            case TIMED_OUT, CANCELLED, NOT_SENT, STALE_CONNECTION, INVALID_REQUEST -> {
                // Tells nothing of the worker.
            }
        }
    }

    /** Whether the worker has more recent failures than are tolerated. */
    public boolean failsOften(WorkerState worker) {
        return recentFailures(worker) > FAILURES_TOLERATED;
    }

    /** Returns the number of failures that still count against the worker. */
    public int recentFailures(WorkerState worker) {
        return worker.statistics().failures.countSince(state.now() - FAILURE_MEMORY);
    }

    private void onFailure(WorkerState worker) {
        worker.statistics().failures.add(state.now(), 1, 1);
        WorkerHealth health = worker.health();
        health.failed();
        if (worker.isUnlisted()) {
            worker.setReady(false);
            state.workers().ready().remove(worker);
        }
        if (health.isEjected() || failsOften(worker)) {
            health.eject();
            health.scheduleTrial(state.now(), Math.min(MAX_TRIAL_DELAY, 2 * health.trialDelay()));
        }
    }

    private void onSuccess(WorkerState worker) {
        if (worker.health().succeeded(state.now()) >= SUCCESSES_TO_REINSTATE) {
            worker.health().reinstate(FIRST_TRIAL_DELAY);
            worker.statistics().failures.clear();
        }
    }

    /**
     * It has left the endpoint list. Where only a drain is binding, the list may be wrong about who
     * is gone: such a worker is ejected, and gets attempts on trial.
     */
    public void onRemoved(WorkerState worker) {
        worker.setReady(worker.isReady() && state.settings().removalIsAdvisory());
        if (worker.isReady() && !worker.isUnlisted()) {
            worker.setUnlisted(true);
            worker.health().eject();
            worker.health().scheduleTrial(state.now(), worker.health().trialDelay());
        }
    }

    /** It has kept silent: whatever its record, it is ejected. */
    void onSilence(WorkerState worker) {
        worker.health().markSilent();
        onFailure(worker);
        worker.health().eject();
    }

    private void backOff(WorkerState worker) {
        worker.health().backOffUntil(state.now() + REJECTION_BACKOFF);
    }

    /**
     * Whether it may get this request: if ejected only on trial, and only what may be tried again.
     */
    public boolean admits(WorkerState worker, TrackedRequest request) {
        WorkerHealth health = worker.health();
        return !health.isEjected()
                || (state.now() >= health.nextTrialAt()
                        && worker.inFlight().isEmpty()
                        && request.settings().idempotency() != Idempotency.NON_IDEMPOTENT);
    }

    /**
     * Whether it serves some requests although it is ejected: rather than a rejection, beside full
     * workers one is tried that fails now and then.
     */
    public boolean servesSome(WorkerState worker, TrackedRequest request) {
        WorkerHealth health = worker.health();
        return !health.isSilent()
                && state.now() - health.succeededAt() < Admission.EVIDENCE_MEMORY
                && worker.inFlight().size() < worker.estimates().slots()
                && request.settings().isSafeToRetryAnywhere();
    }
}
