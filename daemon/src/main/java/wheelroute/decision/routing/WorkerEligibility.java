package wheelroute.decision.routing;

import wheelroute.decision.estimates.Candidate;
import wheelroute.decision.estimates.FleetSnapshot;
import wheelroute.decision.health.OutlierEjection;
import wheelroute.decision.retry.RetryRules;
import wheelroute.decision.slowstart.SlowStart;
import wheelroute.decision.state.DecisionClock;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;

/** Whether a ready worker may get a request, or else which rule excludes it. */
public record WorkerEligibility(
        DecisionClock clock, RetryRules retryRules, SlowStart slowStart, OutlierEjection ejection) {
    /** A worker with this many times the mean of attempts per slot, and a few more, is overfull. */
    private static final double OVERFULL_FACTOR = 2;

    private static final double OVERFULL_SPARE_PER_SLOT = 1;

    /** Returns whether the worker may get the request. */
    EligibilityVerdict judge(TrackedRequest request, Candidate candidate, FleetSnapshot fleet) {
        WorkerState worker = candidate.worker();
        if (!retryRules.mayRunOn(request, worker)) {
            return EligibilityVerdict.EXCLUDED_BY_RETRY_RULES;
        }
        if (!slowStart.admits(worker, request)) {
            return EligibilityVerdict.EXCLUDED_BY_SLOW_START;
        }
        if (worker.health().isBackingOff(clock.now())) {
            return EligibilityVerdict.BACKING_OFF;
        }
        if (!ejection.admits(worker, request)) {
            return EligibilityVerdict.EJECTED;
        }
        return isOverfull(candidate, fleet)
                ? EligibilityVerdict.OVERFULL
                : EligibilityVerdict.ELIGIBLE;
    }

    /** Whether the worker may get the request if the best one would make it wait too long. */
    boolean isFallback(TrackedRequest request, Candidate candidate, FleetSnapshot fleet) {
        return switch (judge(request, candidate, fleet)) {
            case ELIGIBLE -> true;
            case EJECTED ->
                    !isOverfull(candidate, fleet)
                            && ejection.admitsAsFallback(candidate.worker(), request);
            case OVERFULL, EXCLUDED_BY_RETRY_RULES, EXCLUDED_BY_SLOW_START, BACKING_OFF -> false;
        };
    }

    private static boolean isOverfull(Candidate candidate, FleetSnapshot fleet) {
        double maxPerSlot = OVERFULL_FACTOR * fleet.attemptsPerSlot() + OVERFULL_SPARE_PER_SLOT;
        return candidate.worker().inFlight().size() > candidate.slots() * maxPerSlot;
    }
}
