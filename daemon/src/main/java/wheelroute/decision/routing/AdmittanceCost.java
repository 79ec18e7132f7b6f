package wheelroute.decision.routing;

import wheelroute.decision.estimates.CacheMissCost;
import wheelroute.decision.estimates.Candidate;
import wheelroute.decision.estimates.TrafficStatistics;
import wheelroute.decision.state.TrackedRequest;

/**
 * The cost of admitting one request at a worker. It consists of the wait and run of the request
 * there, the longer wait of the requests that arrive after it (equation 3 of Hyytiä and Aalto), and
 * the prices that the settings put on the choice. The unit is seconds times priority weight.
 */
final class AdmittanceCost {
    /**
     * The maximum offered load that the cost is computed with, because the cost goes to infinity at
     * a load of 1.
     */
    private static final double MAX_OFFERED_LOAD = 0.95;

    /**
     * The factor by which the cost of a cache miss exceeds its own time. A miss also slows down
     * other requests, because it uses the shared store and evicts data that they need.
     */
    private static final double CACHE_MISS_FACTOR = 3;

    /** The minimum fraction of its value that a late answer is assumed to lose. */
    private static final double MIN_LATE_LOSS = 0.1;

    /**
     * The multiple of the expected wait above which the slack before the objective counts as
     * certain to suffice.
     */
    private static final double SAFE_SLACK_FACTOR = 8;

    /**
     * The number of recent failures of a worker at which their cost equals the whole value of the
     * request. The window of failures holds as many.
     */
    private static final double FAILURES_AT_FULL_COST = 8;

    private final AdmittanceCostInputs inputs;
    private final TrackedRequest request;
    private final double objectiveSeconds;
    private final double lateLoss;
    private final double crossZoneCost;
    private final double laterArrivalCost;

    private AdmittanceCost(
            AdmittanceCostInputs inputs, TrackedRequest request, double laterArrivalCost) {
        this.inputs = inputs;
        this.request = request;
        this.laterArrivalCost = laterArrivalCost;
        objectiveSeconds = request.settings().latencyObjectiveSecondsFor(request.work());
        lateLoss = Math.max(MIN_LATE_LOSS, 1 - request.settings().lateValue());
        crossZoneCost = asCost(inputs.settings().crossZonePrice());
    }

    /**
     * Returns the cost of a request at the present offered load. The requests of all dispatchers
     * arrive at a worker, and the traffic of each other dispatcher is assumed to equal that of this
     * one.
     *
     * @param capacity the work that all ready workers complete per second
     */
    static AdmittanceCost atPresentLoad(
            AdmittanceCostInputs inputs, TrackedRequest request, double capacity, double now) {
        TrafficStatistics traffic = inputs.traffic();
        int senders = inputs.dispatchers().senderCount();
        double load = Math.min(MAX_OFFERED_LOAD, senders * traffic.workRate(now) / capacity);
        double weightRate = senders * traffic.rate(now) * traffic.meanPriorityWeight();
        return new AdmittanceCost(inputs, request, weightRate / (2 * (1 - load)) / capacity);
    }

    /** Returns the cost of admitting the request at a candidate. */
    double costAt(Candidate candidate) {
        CacheMissCost cacheMissCost = inputs.cacheMissCost();
        int rank = candidate.affinityRank();
        double priorityWeight = request.priorityWeight();
        double runSeconds =
                request.work() / candidate.speed()
                        + CACHE_MISS_FACTOR * cacheMissCost.expectedSeconds(rank);
        double waitSeconds = candidate.expectedWaitSeconds();
        double missPrice = cacheMissCost.missProbability(rank) * inputs.settings().cacheMissPrice();
        double failureCount = inputs.ejection().recentFailures(candidate.worker());
        double lateProbability =
                lateProbability(waitSeconds, Math.max(0, objectiveSeconds - runSeconds));
        return priorityWeight * (waitSeconds + runSeconds)
                + costToLaterArrivals(candidate, runSeconds)
                + (candidate.worker().isInSameZone() ? 0 : crossZoneCost)
                + asCost(missPrice)
                + (failureCount / FAILURES_AT_FULL_COST + lateProbability)
                        * priorityWeight
                        * objectiveSeconds;
    }

    private double costToLaterArrivals(Candidate candidate, double runSeconds) {
        int slots = candidate.slots();
        double factor = laterArrivalCost * candidate.speed() * slots;
        double addedSeconds = runSeconds * request.slots() / slots;
        return factor
                * (2 * candidate.backlogSeconds() * addedSeconds + addedSeconds * addedSeconds);
    }

    /**
     * Converts a price of the settings, which is a fraction of the value of a mean request, to the
     * unit of the cost, by the amount that the request would lose if it were late.
     */
    private double asCost(double price) {
        return price
                * inputs.traffic().meanWeightedWork()
                * objectiveSeconds
                / request.work()
                / lateLoss;
    }

    /**
     * Returns the probability that a wait with this mean exceeds the slack before the objective.
     */
    private static double lateProbability(double waitSeconds, double slackSeconds) {
        if (waitSeconds * SAFE_SLACK_FACTOR < slackSeconds) {
            return 0;
        }
        return waitSeconds > 0 ? Math.exp(-slackSeconds / waitSeconds) : 1;
    }
}
