package wheelroute.decision;

import java.util.List;
import wheelroute.decision.state.Attempt;
import wheelroute.decision.state.TrackedRequest;

/**
 * Passes each event of one request on to the components that record measurements, assess the worker
 * and decide.
 */
final class RequestEvents implements RequestHandle {
    private final TrackedRequest request;
    private final DecisionComponents components;

    RequestEvents(TrackedRequest request, DecisionComponents components) {
        this.request = request;
        this.components = components;
    }

    @Override
    public boolean isComplete() {
        return request.isComplete();
    }

    @Override
    public List<EarlierAttempt> attemptsThatMayHaveRun() {
        return request.attemptsThatMayHaveRun();
    }

    @Override
    public void onEarlierAttempt(EarlierAttempt attempt) {
        request.addEarlierAttempt(attempt);
    }

    @Override
    public void onClientGone() {
        request.markClosed();
        components.sender().cancelAll(request);
        components.keyQueues().removeIfComplete(request);
    }

    @Override
    public void onDeadline() {
        if (!request.isClosed() && !request.hasInFlight()) {
            components.placer().rejectOrFail(request, 0);
            components.keyQueues().removeIfComplete(request);
        }
    }

    @Override
    public void onStarted(int number) {
        Attempt attempt = request.attempt(number);
        if (attempt != null && attempt.isInFlight()) {
            components.measurements().recordStart(attempt);
        }
    }

    @Override
    public void onProgress(int number, double share) {
        Attempt attempt = request.attempt(number);
        if (attempt != null && attempt.isInFlight() && share > 0) {
            components.measurements().recordProgress(attempt, share);
        }
    }

    @Override
    public void onStreaming(int number) {
        Attempt attempt = request.attempt(number);
        if (attempt != null) {
            request.markStreaming();
            components.measurements().recordStreaming(attempt);
        }
    }

    @Override
    public void onEnded(int number, Outcome outcome, boolean answered, LoadReport report) {
        Attempt attempt = request.attempt(number);
        if (attempt == null || !attempt.isInFlight()) {
            return;
        }
        request.end(attempt, outcome);
        components.state().workers().remove(attempt);
        components.measurements().recordEnd(attempt, report);
        components.ejection().onOutcome(attempt.worker(), outcome);
        // The retry is recorded before the outcome is noted, because only an attempt of a request
        // that had failed before is a retry.
        components.measurements().recordRetry(attempt);
        request.noteOutcome(outcome);
        components.keyQueues().onOutcome(request, outcome);
        if (answered || outcome == Outcome.SUCCEEDED) {
            request.markClosed();
            components.sender().cancelAll(request);
        } else if (!request.isClosed()) {
            components.placer().place(request);
        }
        components.keyQueues().removeIfComplete(request);
    }
}
