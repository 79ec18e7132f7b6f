package wheelroute.decision.estimates;

import wheelroute.decision.admission.Admission;
import wheelroute.decision.routing.KeyAffinity;
import wheelroute.decision.state.DispatcherState;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;

/**
 * The figures that a choice of a worker rests on, worked out once for each choice: means of the
 * traffic, waits of the models, and each worker's speed, wait and affinity rank.
 */
public final class FleetEstimates {
    /** Waits of a model are remembered until this many attempts are, however long that takes. */
    private static final double ENOUGH_ATTEMPTS = 32;

    private static final double MAX_MEMORY_STRETCH = 16;

    private final DispatcherState state;
    private double capacity;
    private double attemptsPerSlot;

    /** Creates estimates over all workers of one dispatcher. */
    public FleetEstimates(DispatcherState state) {
        this.state = state;
    }

    /** Work that all ready workers do in a second, as of the last refresh. */
    public double capacity() {
        return capacity;
    }

    /** Attempts of this dispatcher in flight for each slot, as of the last refresh. */
    public double attemptsPerSlot() {
        return attemptsPerSlot;
    }

    /** Works out all that the costs of this request are made of. */
    public void refresh(TrackedRequest request) {
        state.traffic().refreshMeans();
        refreshModels();
        state.cacheMissCost().update(state.traffic().meanWork());
        capacity = 0;
        double slots = 0;
        for (WorkerState worker : state.workers().ready()) {
            WorkerEstimates estimates = worker.estimates();
            estimates.refresh(request.slots());
            capacity += estimates.currentSpeed() * estimates.slots();
            slots += estimates.slots();
        }
        rankByAffinity(request);
        state.workers().setMeanSlotSpeed(slots > 0 ? capacity / slots : 1);
        attemptsPerSlot = state.workers().attemptsInFlight() / Math.max(1, slots);
    }

    /**
     * Memory is stretched where traffic is thin, or a model's waits were forgotten between
     * attempts.
     */
    private void refreshModels() {
        double now = state.now();
        double rate = state.traffic().rate(now);
        double needed = ENOUGH_ATTEMPTS / (WorkerEstimates.MEMORY * rate);
        double stretch = Math.max(1, Math.min(MAX_MEMORY_STRETCH, needed));
        for (ModelStatistics model : state.workers().models().values()) {
            model.updateWaits(
                    now, stretch * WorkerEstimates.MEMORY, stretch * Admission.EVIDENCE_MEMORY);
        }
    }

    private void rankByAffinity(TrackedRequest request) {
        boolean hasKey = request.affinity() != null;
        int others = hasKey ? KeyAffinity.PREFERRED_COUNT : KeyAffinity.CACHED;
        for (WorkerState worker : state.workers().ready()) {
            worker.setAffinityRank(others);
        }
        if (!hasKey) {
            return;
        }
        int rank = 0;
        for (WorkerState worker : request.affinity().preferred(request.settings().model())) {
            worker.setAffinityRank(rank++);
        }
        request.affinity()
                .forEachRecent(
                        WorkerState::attemptCount,
                        worker -> worker.setAffinityRank(KeyAffinity.CACHED));
    }
}
