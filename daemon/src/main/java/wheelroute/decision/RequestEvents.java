package wheelroute.decision;

import wheelroute.decision.estimates.AttemptMeasurements;
import wheelroute.decision.health.OutlierEjection;
import wheelroute.decision.routing.RequestPlacer;
import wheelroute.decision.state.Attempt;
import wheelroute.decision.state.DispatcherState;
import wheelroute.decision.state.TrackedRequest;

/** What each event of one request brings about. */
final class RequestEvents implements RequestHandle {
    private final DispatcherState state;
    private final TrackedRequest request;
    private final RequestPlacer placer;
    private final AttemptMeasurements measurements;
    private final OutlierEjection ejection;

    RequestEvents(
            DispatcherState state,
            TrackedRequest request,
            RequestPlacer placer,
            AttemptMeasurements measurements,
            OutlierEjection ejection) {
        this.state = state;
        this.request = request;
        this.placer = placer;
        this.measurements = measurements;
        this.ejection = ejection;
    }

    @Override
    public boolean isComplete() {
        return request.isComplete();
    }

    @Override
    public void onClientGone() {
        request.finish();
        placer.cancelAttempts(request);
        placer.keyQueues().leave(request);
    }

    @Override
    public void onDeadline() {
        if (!request.isDone() && !request.hasInFlight()) {
            placer.giveUp(request, 0);
        }
    }

    @Override
    public void onStarted(int number) {
        Attempt attempt = request.attempt(number);
        if (attempt != null && attempt.isInFlight()) {
            measurements.recordStart(attempt, state.now());
        }
    }

    @Override
    public void onProgress(int number, double share) {
        Attempt attempt = request.attempt(number);
        if (attempt != null && attempt.isInFlight() && share > 0) {
            measurements.recordProgress(attempt, share);
        }
    }

    @Override
    public void onStreaming(int number) {
        Attempt attempt = request.attempt(number);
        if (attempt != null) {
            request.markStreaming();
            attempt.worker.health().heard(state.now());
        }
    }

    @Override
    public void onEnded(int number, Outcome outcome, boolean answered, LoadReport report) {
        Attempt attempt = request.attempt(number);
        if (attempt == null || !attempt.isInFlight()) {
            return;
        }
        request.end(attempt, outcome);
        state.workers().remove(attempt);
        attempt.worker.estimates().noteReport(report);
        if (outcome == Outcome.SUCCEEDED) {
            measurements.recordSuccess(attempt);
        }
        ejection.onOutcome(attempt.worker, outcome);
        measurements.recordRetry(attempt);
        request.noteOutcome(outcome);
        if (outcome.mayStillRun()) {
            request.keepKeyQuietUntil(state.now() + state.settings().keyQuietPeriodSeconds());
        }
        if (answered || outcome == Outcome.SUCCEEDED) {
            request.finish();
            placer.cancelAttempts(request);
        } else if (!request.isDone()) {
            placer.place(request);
        }
        placer.keyQueues().leave(request);
    }
}
