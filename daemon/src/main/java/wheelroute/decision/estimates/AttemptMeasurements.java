package wheelroute.decision.estimates;

import wheelroute.decision.LoadReport;
import wheelroute.decision.Outcome;
import wheelroute.decision.Settings;
import wheelroute.decision.routing.KeyAffinity;
import wheelroute.decision.state.Attempt;
import wheelroute.decision.state.DecisionClock;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;

/**
 * Records what the events of an attempt show about its worker, its model and its request's cost.
 */
public final class AttemptMeasurements {
    private final DecisionClock clock;
    private final TrafficStatistics traffic;
    private final CacheMissCost cacheMissCost;
    private final double progressIntervalSeconds;
    private final double timeResolutionSeconds;

    /** Creates the recorder of one dispatcher. */
    public AttemptMeasurements(
            DecisionClock clock,
            Settings settings,
            TrafficStatistics traffic,
            CacheMissCost cacheMissCost) {
        this.clock = clock;
        this.traffic = traffic;
        this.cacheMissCost = cacheMissCost;
        progressIntervalSeconds = settings.progressIntervalSeconds();
        timeResolutionSeconds = settings.timeResolutionSeconds();
    }

    /** Records that the worker reports the start of the job. */
    public void recordStart(Attempt attempt) {
        recordStart(attempt, clock.now());
    }

    private void recordStart(Attempt attempt, double startedAt) {
        double now = clock.now();
        WorkerState worker = attempt.worker();
        attempt.recordStart(startedAt);
        worker.health().recordResponse(now);
        worker.recordBegun(attempt, now);
        double unexplained = Math.max(0, attempt.unexplainedWait(startedAt));
        worker.statistics().waits.add(now, unexplained, 1);
        worker.model().recordWait(now, startedAt - attempt.sentAt(), unexplained);
    }

    /** Records progress; where starts are not reported, the first progress shows the start too. */
    public void recordProgress(Attempt attempt, double share) {
        double now = clock.now();
        attempt.worker().health().recordResponse(now);
        attempt.recordMessage(now);
        if (!attempt.hasStarted()) {
            recordStart(attempt, Math.max(attempt.sentAt(), now - progressIntervalSeconds));
        }
        attempt.recordProgress(now, share);
    }

    /** Records that the first part of a result has arrived. */
    public void recordStreaming(Attempt attempt) {
        attempt.worker().health().recordResponse(clock.now());
    }

    /** Records how a retry ended whose request had failed elsewhere before. */
    public void recordRetry(Attempt attempt) {
        boolean failed = attempt.outcome() == Outcome.FAILED;
        if (attempt.request().hasFailed() && (failed || attempt.outcome() == Outcome.SUCCEEDED)) {
            traffic.recordRetry(clock.now(), failed);
        }
    }

    /** Records the end of an attempt, which is no longer among those in flight, and its report. */
    public void recordEnd(Attempt attempt, LoadReport report) {
        attempt.worker().estimates().recordReport(report);
        if (attempt.outcome() == Outcome.SUCCEEDED) {
            recordSuccess(attempt);
        }
    }

    private void recordSuccess(Attempt attempt) {
        double now = clock.now();
        WorkerState worker = attempt.worker();
        worker.health().recordResponse(now);
        worker.recordBegun(attempt, now);
        if (worker.isWarm()) {
            worker.model()
                    .recordCompletedWork(now, attempt.request().work() * attempt.request().slots());
        }
        if (!attempt.hasStarted()) {
            double run = attempt.request().work() / worker.estimates().speed(now);
            double unexplained = attempt.unexplainedWait(now) - run;
            worker.statistics().waits.add(now, unexplained, 1);
            worker.model().recordWait(now, now - attempt.sentAt(), unexplained);
        }
        if (attempt.hasStarted() || attempt.ownWaitSeconds() == 0) {
            recordRun(attempt);
        }
    }

    private void recordRun(Attempt attempt) {
        double now = clock.now();
        WorkerEstimates estimates = attempt.worker().estimates();
        TrackedRequest request = attempt.request();
        double from = attempt.hasStarted() ? attempt.startedAt() : attempt.sentAt();
        double run = Math.max(now - from, timeResolutionSeconds);
        if (attempt.affinityRank() != KeyAffinity.CACHED) {
            double excess = run - request.work() / estimates.speed(now);
            cacheMissCost.record(now, attempt.affinityRank(), request.work(), excess);
            return;
        }
        // Recorded as if the worker were warm: its speed is multiplied by the ramp fraction later.
        double rampFraction = estimates.rampFraction(from);
        attempt.worker().statistics().runs.add(now, request.work(), run * rampFraction);
        if (rampFraction >= 1) {
            // Workers in slow start are left out, or a release would make the whole model look
            // slow.
            attempt.worker().model().recordRun(now, request.work(), run);
            request.requestClass()
                    .estimates()
                    .record(request.request().estimatedWork(), run * estimates.speed(now));
        }
    }
}
