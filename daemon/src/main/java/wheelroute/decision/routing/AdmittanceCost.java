package wheelroute.decision.routing;

import wheelroute.decision.estimates.CacheMissCost;
import wheelroute.decision.estimates.Candidate;
import wheelroute.decision.estimates.TrafficStatistics;
import wheelroute.decision.state.TrackedRequest;

/**
 * What it costs to admit one request at a worker: its own wait and run there, and the longer wait
 * of the requests that arrive after it. Equation 3 of Hyytiä and Aalto, plus the prices that the
 * settings have for the choice. The unit is seconds times priority weight.
 */
final class AdmittanceCost {
    /** An upper bound of the offered load, as the cost goes to infinity at 1. */
    private static final double MAX_LOAD = 0.95;

    /** A miss costs others too: it uses the shared store, and evicts data that others need. */
    private static final double CACHE_MISS_FACTOR = 3;

    /** A late answer is assumed to lose at least this part of its value. */
    private static final double MIN_LATE_LOSS = 0.1;

    /** A wait is never late if the slack is this many times the expected wait. */
    private static final double CERTAIN_SLACK_FACTOR = 8;

    /** Recent failures of a worker that cost the whole value; its window holds as many. */
    private static final double FAILURES_OF_FULL_COST = 8;

    private final AdmittanceCostInputs inputs;
    private final TrackedRequest request;
    private final double objective;
    private final double lateLoss;
    private final double crossing;
    private final double laterArrivalCost;

    private AdmittanceCost(
            AdmittanceCostInputs inputs, TrackedRequest request, double laterArrivalCost) {
        this.inputs = inputs;
        this.request = request;
        this.laterArrivalCost = laterArrivalCost;
        objective = request.settings().latencyObjectiveSecondsFor(request.work());
        lateLoss = Math.max(MIN_LATE_LOSS, 1 - request.settings().lateValue());
        crossing = asCost(inputs.settings().crossZonePrice());
    }

    /**
     * Returns the cost of a request under the present offered load. The requests of all dispatchers
     * arrive at a worker; the others' traffic is assumed to equal this one's.
     *
     * @param capacity work that all ready workers do in a second
     */
    static AdmittanceCost under(
            AdmittanceCostInputs inputs, TrackedRequest request, double capacity, double now) {
        TrafficStatistics traffic = inputs.traffic();
        int senders = inputs.dispatchers().senderCount();
        double load = Math.min(MAX_LOAD, senders * traffic.workRate(now) / capacity);
        double value = senders * traffic.rate(now) * traffic.meanValue();
        return new AdmittanceCost(inputs, request, value / (2 * (1 - load)) / capacity);
    }

    /** Returns the cost at a worker. */
    double at(Candidate candidate) {
        CacheMissCost cacheMissCost = inputs.cacheMissCost();
        int rank = candidate.affinityRank();
        double value = request.value();
        double run =
                request.work() / candidate.speed()
                        + CACHE_MISS_FACTOR * cacheMissCost.expectedSeconds(rank);
        double wait = candidate.expectedWaitSeconds();
        double missPrice = cacheMissCost.missProbability(rank) * inputs.settings().cacheMissPrice();
        double failures = inputs.ejection().recentFailures(candidate.worker());
        double late = lateProbability(wait, Math.max(0, objective - run));
        return value * (wait + run)
                + costToLaterArrivals(candidate, run)
                + (candidate.worker().isInSameZone() ? 0 : crossing)
                + asCost(missPrice)
                + (failures / FAILURES_OF_FULL_COST + late) * value * objective;
    }

    private double costToLaterArrivals(Candidate candidate, double run) {
        int slots = candidate.slots();
        double factor = laterArrivalCost * candidate.speed() * slots;
        double added = run * request.slots() / slots;
        return factor * (2 * candidate.backlogSeconds() * added + added * added);
    }

    /**
     * Returns a price of the settings, which is in parts of a mean request's value, in the unit of
     * the cost, by what the request would lose if it were late.
     */
    private double asCost(double price) {
        return price * inputs.traffic().meanWeightedWork() * objective / request.work() / lateLoss;
    }

    /** Returns the probability that a wait of this mean exceeds the slack before the objective. */
    private static double lateProbability(double wait, double slack) {
        if (wait * CERTAIN_SLACK_FACTOR < slack) {
            return 0;
        }
        return wait > 0 ? Math.exp(-slack / wait) : 1;
    }
}
