package wheelroute.decision.retry;

import java.util.ArrayList;
import java.util.function.Predicate;
import wheelroute.decision.routing.AttemptSender;
import wheelroute.decision.routing.PlacementResult;
import wheelroute.decision.routing.RequestPlacer;
import wheelroute.decision.routing.WorkerSelector;
import wheelroute.decision.state.Attempt;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;

/** Replaces attempts that a worker has lost or does not respond to, each attempt at most once. */
public record AttemptReplacer(
        RetryRules retryRules,
        RequestPlacer placer,
        WorkerSelector selector,
        AttemptSender sender,
        HedgingBudget hedgingBudget) {
    /**
     * Replaces all attempts of a worker that was removed or has restarted. These attempts are lost,
     * so replacing them uses none of the hedging budget.
     */
    public void replaceLost(WorkerState worker) {
        for (Attempt attempt : new ArrayList<>(worker.inFlight())) {
            replace(attempt);
        }
    }

    /** Replaces the attempts of a worker that pass the test, within the hedging budget. */
    public void replaceWithinBudget(WorkerState worker, Predicate<Attempt> test) {
        for (Attempt attempt : new ArrayList<>(worker.inFlight())) {
            if (hedgingBudget.allowsHedge() && test.test(attempt) && replace(attempt)) {
                hedgingBudget.spend();
            }
        }
    }

    /**
     * Replaces an attempt if the retry rules allow it. Returns whether the attempt was hedged or
     * cancelled.
     */
    private boolean replace(Attempt attempt) {
        if (attempt.isReplacementTried()) {
            return false;
        }
        attempt.markReplacementTried();
        TrackedRequest request = attempt.request();
        return switch (retryRules.replacementFor(attempt, () -> selector.hasFallback(request))) {
            case HEDGE -> placer.place(request) == PlacementResult.ATTEMPT_STARTED;
            case CANCEL_THEN_RETRY -> {
                sender.cancel(attempt);
                yield true;
            }
            case NONE -> false;
        };
    }
}
