package wheelroute.decision.estimates;

import wheelroute.decision.Outcome;
import wheelroute.decision.routing.KeyAffinity;
import wheelroute.decision.state.Attempt;
import wheelroute.decision.state.DispatcherState;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;

/** Records what the events of an attempt tell of its worker, its model and its request's cost. */
public final class AttemptMeasurements {
    private final DispatcherState state;

    /** Creates the recorder of what attempts show about workers, models and requests. */
    public AttemptMeasurements(DispatcherState state) {
        this.state = state;
    }

    /** The worker began the job at this time. */
    public void recordStart(Attempt attempt, double startedAt) {
        double now = state.now();
        WorkerState worker = attempt.worker;
        attempt.start(startedAt);
        worker.health().heard(now);
        worker.noteOvertaken(attempt, now);
        double unexplained = Math.max(0, attempt.unexplainedWait(startedAt));
        worker.statistics().waits.add(now, unexplained, 1);
        worker.model().recordWait(now, startedAt - attempt.sentAt, unexplained);
    }

    /** Where starts are not told, the first progress tells of one. */
    public void recordProgress(Attempt attempt, double share) {
        double now = state.now();
        attempt.worker.health().heard(now);
        attempt.heard(now);
        if (!attempt.hasStarted()) {
            recordStart(
                    attempt,
                    Math.max(attempt.sentAt, now - state.settings().progressIntervalSeconds()));
        }
        attempt.progress(now, share);
    }

    /** How a retry went, for a request that had failed elsewhere. */
    public void recordRetry(Attempt attempt) {
        boolean failed = attempt.outcome() == Outcome.FAILED;
        if (attempt.request.hasFailed() && (failed || attempt.outcome() == Outcome.SUCCEEDED)) {
            state.traffic().recordRetry(state.now(), failed);
        }
    }

    /** To be called once the attempt has succeeded and is no longer in flight. */
    public void recordSuccess(Attempt attempt) {
        double now = state.now();
        WorkerState worker = attempt.worker;
        worker.health().heard(now);
        worker.noteOvertaken(attempt, now);
        if (worker.isWarm()) {
            worker.model()
                    .recordCompletedWork(now, attempt.request.work() * attempt.request.slots());
        }
        if (!attempt.hasStarted()) {
            double run = attempt.request.work() / worker.estimates().speed();
            double unexplained = attempt.unexplainedWait(now) - run;
            worker.statistics().waits.add(now, unexplained, 1);
            worker.model().recordWait(now, now - attempt.sentAt, unexplained);
        }
        if (attempt.hasStarted() || attempt.ownWait == 0) {
            recordRun(attempt);
        }
    }

    private void recordRun(Attempt attempt) {
        double now = state.now();
        WorkerEstimates estimates = attempt.worker.estimates();
        TrackedRequest request = attempt.request;
        double from = attempt.hasStarted() ? attempt.startedAt() : attempt.sentAt;
        double run = Math.max(now - from, state.settings().timeResolutionSeconds());
        if (attempt.affinityRank != KeyAffinity.CACHED) {
            double excess = run - request.work() / estimates.speed();
            state.cacheMissCost().record(now, attempt.affinityRank, request.work(), excess);
            return;
        }
        // As if warm: the speed is scaled by warmth, and being cold must not count twice.
        double warmth = estimates.warmth(from);
        attempt.worker.statistics().runs.add(now, request.work(), run * warmth);
        if (warmth >= 1) {
            // Only warm workers speak for their model, or a release would make all of it look slow.
            attempt.worker.model().recordRun(now, request.work(), run);
            request.requestClass()
                    .estimates()
                    .record(request.request().estimatedWork(), run * estimates.speed());
        }
    }
}
