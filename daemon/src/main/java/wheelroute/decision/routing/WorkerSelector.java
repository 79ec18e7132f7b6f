package wheelroute.decision.routing;

import java.util.function.Predicate;
import wheelroute.decision.estimates.Candidate;
import wheelroute.decision.estimates.FleetEstimates;
import wheelroute.decision.estimates.FleetSnapshot;
import wheelroute.decision.state.DecisionClock;
import wheelroute.decision.state.RandomDraws;
import wheelroute.decision.state.TrackedRequest;

/** Chooses the worker of least admittance cost among those that may get a request. */
public record WorkerSelector(
        DecisionClock clock,
        FleetEstimates estimates,
        WorkerEligibility eligibility,
        AdmittanceCostInputs costInputs,
        RandomDraws random) {
    /** Costs this close to the least count as equal, as estimates are no more exact than this. */
    private static final double TIE_FRACTION = 0.10;

    /** Returns all ready workers as estimated for the request now. */
    FleetSnapshot snapshotFor(TrackedRequest request) {
        return estimates.snapshotFor(request);
    }

    /** Returns the cheapest worker, at random among equals; null where none may get the request. */
    Candidate cheapest(TrackedRequest request, FleetSnapshot fleet) {
        CandidateCosts costs = costsUpTo(EligibilityVerdict.ELIGIBLE, request, fleet);
        if (costs.areAllInfinite()) {
            costs = costsUpTo(EligibilityVerdict.OVERFULL, request, fleet);
        }
        if (costs.areAllInfinite()) {
            costs = costsUpTo(EligibilityVerdict.EJECTED, request, fleet);
        }
        return draw(costs);
    }

    /**
     * Returns the cheapest worker that passes a test, among which may be ejected ones that still
     * answer some requests; null where none does.
     */
    Candidate cheapestFallback(
            TrackedRequest request, FleetSnapshot fleet, Predicate<Candidate> test) {
        Predicate<Candidate> isFallback =
                candidate -> eligibility.isFallback(request, candidate, fleet);
        return draw(costs(request, fleet, isFallback.and(test)));
    }

    /** Whether any worker may get the request now, be it only as a fallback. */
    public boolean hasFallback(TrackedRequest request) {
        return cheapestFallback(request, snapshotFor(request), candidate -> true) != null;
    }

    private CandidateCosts costsUpTo(
            EligibilityVerdict worst, TrackedRequest request, FleetSnapshot fleet) {
        return costs(
                request,
                fleet,
                candidate -> worst.includes(eligibility.judge(request, candidate, fleet)));
    }

    private CandidateCosts costs(
            TrackedRequest request, FleetSnapshot fleet, Predicate<Candidate> mayBeChosen) {
        var cost = AdmittanceCost.under(costInputs, request, fleet.capacity(), clock.now());
        return CandidateCosts.of(fleet.candidates(), mayBeChosen, cost);
    }

    private Candidate draw(CandidateCosts costs) {
        return costs.areAllInfinite()
                ? null
                : costs.draw(costs.least() * (1 + TIE_FRACTION), random);
    }
}
