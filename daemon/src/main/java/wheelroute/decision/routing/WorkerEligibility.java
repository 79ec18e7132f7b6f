package wheelroute.decision.routing;

import wheelroute.decision.estimates.Candidate;
import wheelroute.decision.estimates.FleetSnapshot;
import wheelroute.decision.health.OutlierEjection;
import wheelroute.decision.retry.RetryRules;
import wheelroute.decision.slowstart.SlowStart;
import wheelroute.decision.state.DecisionClock;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;

/** Determines whether a ready worker may get a request, or which rule excludes the worker. */
public record WorkerEligibility(
        DecisionClock clock, RetryRules retryRules, SlowStart slowStart, OutlierEjection ejection) {
    /**
     * The multiple of the mean number of attempts per slot above which, with a small allowance, a
     * worker counts as overloaded.
     */
    private static final double OVERLOAD_FACTOR = 2;

    /** Attempts per slot that are allowed on top of that multiple. */
    private static final double OVERLOAD_ALLOWANCE_PER_SLOT = 1;

    /** Returns the eligibility of a worker for a request. */
    Eligibility evaluate(TrackedRequest request, Candidate candidate, FleetSnapshot fleet) {
        WorkerState worker = candidate.worker();
        if (!retryRules.mayRunOn(request, worker)) {
            return Eligibility.EXCLUDED_BY_RETRY_RULES;
        }
        if (!slowStart.admits(worker, request)) {
            return Eligibility.EXCLUDED_BY_SLOW_START;
        }
        if (worker.health().isBackingOff(clock.now())) {
            return Eligibility.BACKING_OFF;
        }
        if (!ejection.admits(worker, request)) {
            return Eligibility.EJECTED;
        }
        return isOverloaded(candidate, fleet) ? Eligibility.OVERLOADED : Eligibility.ELIGIBLE;
    }

    /**
     * Returns whether the worker may get the request if the request would wait too long at the best
     * worker.
     */
    boolean isFallback(TrackedRequest request, Candidate candidate, FleetSnapshot fleet) {
        return switch (evaluate(request, candidate, fleet)) {
            case ELIGIBLE -> true;
            case EJECTED ->
                    !isOverloaded(candidate, fleet)
                            && ejection.admitsAsFallback(candidate.worker(), request);
            case OVERLOADED, EXCLUDED_BY_RETRY_RULES, EXCLUDED_BY_SLOW_START, BACKING_OFF -> false;
        };
    }

    private static boolean isOverloaded(Candidate candidate, FleetSnapshot fleet) {
        double maxPerSlot = OVERLOAD_FACTOR * fleet.attemptsPerSlot() + OVERLOAD_ALLOWANCE_PER_SLOT;
        return candidate.worker().inFlight().size() > candidate.slots() * maxPerSlot;
    }
}
