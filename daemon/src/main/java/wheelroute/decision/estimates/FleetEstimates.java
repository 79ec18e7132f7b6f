package wheelroute.decision.estimates;

import java.util.ArrayList;
import java.util.List;
import wheelroute.decision.routing.KeyAffinity;
import wheelroute.decision.state.DecisionClock;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;
import wheelroute.decision.state.WorkerTable;

/**
 * Computes the estimates on which the choice of a worker is based: means of the traffic, waits of
 * the models, and each worker's speed, wait and affinity rank.
 */
public final class FleetEstimates {
    /**
     * Minimum number of attempts that the memory of the waits of a model should cover. With less
     * traffic the memory is extended.
     */
    private static final double MIN_REMEMBERED_ATTEMPTS = 32;

    private static final double MAX_MEMORY_FACTOR = 16;

    private final DecisionClock clock;
    private final WorkerTable workers;
    private final TrafficStatistics traffic;
    private final CacheMissCost cacheMissCost;
    private double meanSlotSpeed = 1;

    /** Creates the estimates of all workers of one dispatcher. */
    public FleetEstimates(
            DecisionClock clock,
            WorkerTable workers,
            TrafficStatistics traffic,
            CacheMissCost cacheMissCost) {
        this.clock = clock;
        this.workers = workers;
        this.traffic = traffic;
        this.cacheMissCost = cacheMissCost;
    }

    /** Returns the current estimates of all ready workers for this request. */
    public FleetSnapshot snapshotFor(TrackedRequest request) {
        double now = clock.now();
        traffic.refreshMeans();
        updateModelWaits(now);
        cacheMissCost.update(traffic.meanWork());
        int defaultRank =
                request.affinity() == null ? KeyAffinity.CACHED : KeyAffinity.PREFERRED_COUNT;
        List<WorkerState> ready = workers.ready();
        List<Candidate> candidates = new ArrayList<>(ready.size());
        double capacity = 0;
        double slots = 0;
        for (WorkerState worker : ready) {
            Candidate candidate = worker.estimates().candidateFor(request.slots(), now);
            candidate.setAffinityRank(defaultRank);
            capacity += candidate.speed() * candidate.slots();
            slots += candidate.slots();
            candidates.add(candidate);
        }
        rankByAffinity(request);
        meanSlotSpeed = slots > 0 ? capacity / slots : 1;
        return new FleetSnapshot(
                candidates, capacity, workers.attemptsInFlight() / Math.max(1, slots));
    }

    /**
     * Returns the expected run time of a request that has no worker yet, in seconds, by the mean
     * speed of a slot at the last snapshot.
     */
    public double expectedRunSeconds(TrackedRequest request) {
        return request.work() / meanSlotSpeed;
    }

    /**
     * Computes the mean waits of all models. With little traffic the memory is longer, so that it
     * covers enough attempts.
     */
    private void updateModelWaits(double now) {
        double rate = traffic.rate(now);
        double needed = MIN_REMEMBERED_ATTEMPTS / (WorkerEstimates.MEMORY_SECONDS * rate);
        double factor = Math.max(1, Math.min(MAX_MEMORY_FACTOR, needed));
        for (ModelStatistics model : workers.models().values()) {
            model.updateWaits(
                    now,
                    factor * WorkerEstimates.MEMORY_SECONDS,
                    factor * WorkerEstimates.RECENT_MEMORY_SECONDS);
        }
    }

    /** Sets the affinity ranks of the workers that may cache the data of the request's key. */
    private static void rankByAffinity(TrackedRequest request) {
        if (request.affinity() == null) {
            return;
        }
        int rank = 0;
        for (WorkerState worker : request.affinity().preferred(request.settings().model())) {
            worker.estimates().setAffinityRank(rank++);
        }
        request.affinity()
                .forEachRecent(
                        WorkerState::attemptCount,
                        worker -> worker.estimates().setAffinityRank(KeyAffinity.CACHED));
    }
}
