package wheelroute.decision;

import wheelroute.decision.state.Attempt;
import wheelroute.decision.state.TrackedRequest;

/** Passes each event of one request on to the parts that measure, judge the worker, and decide. */
final class RequestEvents implements RequestHandle {
    private final TrackedRequest request;
    private final DecisionComponents parts;

    RequestEvents(TrackedRequest request, DecisionComponents parts) {
        this.request = request;
        this.parts = parts;
    }

    @Override
    public boolean isComplete() {
        return request.isComplete();
    }

    @Override
    public void onClientGone() {
        request.finish();
        parts.sender().cancelAll(request);
        parts.keyQueues().removeIfComplete(request);
    }

    @Override
    public void onDeadline() {
        if (!request.isDone() && !request.hasInFlight()) {
            parts.placer().rejectOrFail(request, 0);
            parts.keyQueues().removeIfComplete(request);
        }
    }

    @Override
    public void onStarted(int number) {
        Attempt attempt = request.attempt(number);
        if (attempt != null && attempt.isInFlight()) {
            parts.measurements().recordStart(attempt);
        }
    }

    @Override
    public void onProgress(int number, double share) {
        Attempt attempt = request.attempt(number);
        if (attempt != null && attempt.isInFlight() && share > 0) {
            parts.measurements().recordProgress(attempt, share);
        }
    }

    @Override
    public void onStreaming(int number) {
        Attempt attempt = request.attempt(number);
        if (attempt != null) {
            request.markStreaming();
            parts.measurements().recordStreaming(attempt);
        }
    }

    @Override
    public void onEnded(int number, Outcome outcome, boolean answered, LoadReport report) {
        Attempt attempt = request.attempt(number);
        if (attempt == null || !attempt.isInFlight()) {
            return;
        }
        request.end(attempt, outcome);
        parts.state().workers().remove(attempt);
        parts.measurements().recordEnd(attempt, report);
        parts.ejection().onOutcome(attempt.worker(), outcome);
        // Before the outcome is noted: a retry is one of a request that had failed before.
        parts.measurements().recordRetry(attempt);
        request.noteOutcome(outcome);
        parts.keyQueues().onOutcome(request, outcome);
        if (answered || outcome == Outcome.SUCCEEDED) {
            request.finish();
            parts.sender().cancelAll(request);
        } else if (!request.isDone()) {
            parts.placer().place(request);
        }
        parts.keyQueues().removeIfComplete(request);
    }
}
