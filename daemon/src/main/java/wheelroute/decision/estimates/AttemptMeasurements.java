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
 * Records measurements from the events of attempts: speeds and waits of workers and models, the
 * cost of cache misses, and the accuracy of cost estimates.
 */
public final class AttemptMeasurements {
    private final DecisionClock clock;
    private final TrafficStatistics traffic;
    private final CacheMissCost cacheMissCost;
    private final double progressIntervalSeconds;
    private final double timeResolutionSeconds;

    /** Creates the measurements of one dispatcher. */
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

    /** Records that the worker has just reported the start of the attempt. */
    public void recordStart(Attempt attempt) {
        recordStart(attempt, clock.now());
    }

    private void recordStart(Attempt attempt, double startedAt) {
        double now = clock.now();
        WorkerState worker = attempt.worker();
        attempt.recordStart(startedAt);
        worker.health().recordResponse(now);
        worker.inferStartsThrough(attempt, now);
        double unexplained = Math.max(0, attempt.unexplainedWait(startedAt));
        worker.statistics().recordWait(now, unexplained);
        worker.model().recordWait(now, startedAt - attempt.sentAt(), unexplained);
    }

    /**
     * Records a progress report. If the start of the attempt was not reported, the first progress
     * report also serves to estimate its start.
     */
    public void recordProgress(Attempt attempt, double share) {
        double now = clock.now();
        attempt.worker().health().recordResponse(now);
        attempt.recordMessage(now);
        if (!attempt.hasStarted()) {
            recordStart(attempt, Math.max(attempt.sentAt(), now - progressIntervalSeconds));
        }
        attempt.recordProgress(now, share);
    }

    /** Records that the first part of the result has arrived from the worker. */
    public void recordStreaming(Attempt attempt) {
        attempt.worker().health().recordResponse(clock.now());
    }

    /**
     * Records the end of a retry whose request had failed elsewhere before. Must be called before
     * the request records the outcome of this attempt. Other attempts are ignored.
     */
    public void recordRetry(Attempt attempt) {
        boolean failed = attempt.outcome() == Outcome.FAILED;
        if (attempt.request().hasFailed() && (failed || attempt.outcome() == Outcome.SUCCEEDED)) {
            traffic.recordRetry(clock.now(), failed);
        }
    }

    /**
     * Records the end of an attempt and the load report that came with it. Must be called after the
     * attempt was removed from those in flight.
     */
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
        worker.inferStartsThrough(attempt, now);
        if (worker.isWarm()) {
            worker.model()
                    .recordCompletedWork(now, attempt.request().work() * attempt.request().slots());
        }
        if (!attempt.hasStarted()) {
            double run = attempt.request().work() / worker.estimates().speed(now);
            double unexplained = attempt.unexplainedWait(now) - run;
            worker.statistics().recordWait(now, unexplained);
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
        // The run time is scaled to that of a worker past its slow start, because WorkerEstimates
        // multiplies the speed that results from these runs by the current ramp fraction.
        double rampFraction = estimates.rampFraction(from);
        attempt.worker().statistics().recordRun(now, request.work(), run * rampFraction);
        if (rampFraction >= 1) {
            // Runs in slow start are excluded, since a release, after which many workers are in
            // slow start, would make the whole model look slow.
            attempt.worker().model().recordRun(now, request.work(), run);
            request.requestClass()
                    .estimates()
                    .record(request.request().estimatedWork(), run * estimates.speed(now));
        }
    }
}
