package wheelroute.decision.routing;

import wheelroute.decision.Settings;
import wheelroute.decision.estimates.TrafficStatistics;
import wheelroute.decision.estimates.WorkerEstimates;
import wheelroute.decision.health.OutlierEjection;
import wheelroute.decision.state.DispatcherState;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;

/**
 * What it costs to admit a request at a worker: the request's own wait and run there, and what it
 * costs the requests that come after it. Equation 3 of Hyytiä and Aalto, with the prices that the
 * settings put on the choice.
 */
public final class AdmittanceCost {
    /** Offered load is held below this: the cost's factor has a pole at 1. */
    private static final double MAX_LOAD = 0.95;

    /**
     * A miss costs others too: the store is shared, and what is fetched evicts what others need.
     */
    private static final double CACHE_MISS_FACTOR = 3;

    /**
     * Being late is taken to lose at least this part of the value, where settings say it loses
     * none.
     */
    private static final double MIN_LATE_LOSS = 0.1;

    /** A slack of this many waits is never outlasted, for all that matters. */
    private static final double CERTAIN_WAITS = 8;

    /** Samples of failures that a worker's record holds. */
    private static final double FAILURE_SAMPLES = 8;

    private final DispatcherState state;
    private final OutlierEjection ejection;
    private double laterArrivals;

    AdmittanceCost(DispatcherState state, OutlierEjection ejection) {
        this.state = state;
        this.ejection = ejection;
    }

    /**
     * Works out the factor of what a request costs those after it.
     *
     * @param capacity work that all ready workers do in a second
     */
    void prepare(double capacity) {
        TrafficStatistics traffic = state.traffic();
        double now = state.now();
        // All dispatchers' traffic, taken to be like ours: later arrivals at a queue are not ours
        // alone.
        int senders = state.senderCount();
        double load = Math.min(MAX_LOAD, senders * traffic.workRate(now) / capacity);
        laterArrivals =
                senders * traffic.rate(now) * traffic.meanValue() / (2 * (1 - load)) / capacity;
    }

    /** The cost, in seconds times priority weight, by the worker's refreshed estimates. */
    double of(TrackedRequest request, WorkerState worker) {
        WorkerEstimates estimates = worker.estimates();
        int rank = worker.affinityRank();
        double value = request.value();
        double run =
                request.work() / estimates.currentSpeed()
                        + CACHE_MISS_FACTOR * state.cacheMissCost().expectedSeconds(rank);
        double objective = request.settings().latencyObjectiveSecondsFor(request.work());
        double wait = estimates.expectedWait();
        Settings settings = state.settings();
        double crossing =
                worker.isInSameZone() ? 0 : asCost(settings.crossZonePrice(), request, objective);
        double missPrice = state.cacheMissCost().missProbability(rank) * settings.cacheMissPrice();
        double miss = asCost(missPrice, request, objective);
        double failure = ejection.recentFailures(worker) / FAILURE_SAMPLES;
        double late = lateness(wait, Math.max(0, objective - run));
        return value * (wait + run)
                + costToLater(request, estimates, run)
                + crossing
                + miss
                + (failure + late) * value * objective;
    }

    private double costToLater(TrackedRequest request, WorkerEstimates estimates, double run) {
        int slots = estimates.slots();
        double factor = laterArrivals * estimates.currentSpeed() * slots;
        double added = run * request.slots() / slots;
        return factor * (2 * estimates.backlog() * added + added * added);
    }

    /**
     * A price of the settings, in mean worth, in the unit of the cost: what being late would lose.
     */
    private double asCost(double price, TrackedRequest request, double objective) {
        double loss = Math.max(MIN_LATE_LOSS, 1 - request.settings().lateValue());
        return price * state.traffic().meanPrice() * objective / request.work() / loss;
    }

    /**
     * What a linear cost does not see: a wait near the slack loses the value, a longer run nothing.
     */
    private static double lateness(double wait, double slack) {
        if (wait * CERTAIN_WAITS < slack) {
            return 0;
        }
        return wait > 0 ? Math.exp(-slack / wait) : 1;
    }
}
