package wheelroute.decision.routing;

import java.util.function.Predicate;
import wheelroute.decision.estimates.Candidate;
import wheelroute.decision.estimates.FleetEstimates;
import wheelroute.decision.estimates.FleetSnapshot;
import wheelroute.decision.state.DecisionClock;
import wheelroute.decision.state.RandomDraws;
import wheelroute.decision.state.TrackedRequest;

/** Selects the worker of least admittance cost among those that may get a request. */
public record WorkerSelector(
        DecisionClock clock,
        FleetEstimates estimates,
        WorkerEligibility eligibility,
        AdmittanceCostInputs costInputs,
        RandomDraws random) {
    /**
     * The relative difference from the least cost up to which costs count as equal. The estimates
     * are no more exact than this.
     */
    private static final double TIE_FRACTION = 0.10;

    /** Returns the present estimates of all ready workers for the request. */
    FleetSnapshot snapshotFor(TrackedRequest request) {
        return estimates.snapshotFor(request);
    }

    /**
     * Returns the cheapest worker, drawn at random among equals; null if no worker may get the
     * request.
     */
    Candidate cheapest(TrackedRequest request, FleetSnapshot fleet) {
        CandidateCosts costs = costsUpTo(Eligibility.ELIGIBLE, request, fleet);
        if (costs.areAllInfinite()) {
            costs = costsUpTo(Eligibility.OVERLOADED, request, fleet);
        }
        if (costs.areAllInfinite()) {
            costs = costsUpTo(Eligibility.EJECTED, request, fleet);
        }
        return draw(costs);
    }

    /**
     * Returns the cheapest eligible worker that passes the test; null if there is none. Ejected
     * workers that still answer some requests are included.
     */
    Candidate cheapestFallback(
            TrackedRequest request, FleetSnapshot fleet, Predicate<Candidate> test) {
        Predicate<Candidate> isFallback =
                candidate -> eligibility.isFallback(request, candidate, fleet);
        return draw(costs(request, fleet, isFallback.and(test)));
    }

    /** Returns whether any worker may get the request now, even if only as a fallback. */
    public boolean hasFallback(TrackedRequest request) {
        return cheapestFallback(request, snapshotFor(request), candidate -> true) != null;
    }

    private CandidateCosts costsUpTo(
            Eligibility worst, TrackedRequest request, FleetSnapshot fleet) {
        return costs(
                request,
                fleet,
                candidate -> worst.includes(eligibility.evaluate(request, candidate, fleet)));
    }

    private CandidateCosts costs(
            TrackedRequest request, FleetSnapshot fleet, Predicate<Candidate> mayBeChosen) {
        var cost = AdmittanceCost.atPresentLoad(costInputs, request, fleet.capacity(), clock.now());
        return CandidateCosts.of(fleet.candidates(), mayBeChosen, cost);
    }

    private Candidate draw(CandidateCosts costs) {
        return costs.areAllInfinite()
                ? null
                : costs.draw(costs.least() * (1 + TIE_FRACTION), random);
    }
}
