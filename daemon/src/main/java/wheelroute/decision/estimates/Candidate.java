package wheelroute.decision.estimates;

import wheelroute.decision.routing.KeyAffinity;
import wheelroute.decision.state.WorkerState;

/**
 * A worker as estimated for the request that is being placed. To save allocations, each worker has
 * one, which every {@link FleetSnapshot} fills anew: it is not to be kept after the choice.
 */
public final class Candidate {
    private final WorkerState worker;
    private int affinityRank;
    private int slots;
    private double speed;
    private double ownWaitSeconds;
    private double expectedWaitSeconds;
    private double backlogSeconds;

    Candidate(WorkerState worker) {
        this.worker = worker;
    }

    void fill(
            int newSlots, double newSpeed, double ownWait, double externalWait, double scheduled) {
        slots = newSlots;
        speed = newSpeed;
        ownWaitSeconds = ownWait;
        expectedWaitSeconds = ownWait + externalWait;
        backlogSeconds = scheduled / newSlots + externalWait;
    }

    void setAffinityRank(int rank) {
        affinityRank = rank;
    }

    /** Returns the worker. */
    public WorkerState worker() {
        return worker;
    }

    /**
     * Returns the worker's position among those preferred for the request's key, {@link
     * KeyAffinity#PREFERRED_COUNT} for all others, or {@link KeyAffinity#CACHED} where no miss is
     * expected.
     */
    public int affinityRank() {
        return affinityRank;
    }

    /** Returns the number of jobs that it runs at the same time. */
    public int slots() {
        return slots;
    }

    /** Returns the work that a slot does in a second. */
    public double speed() {
        return speed;
    }

    /** Returns how long the request would wait behind this dispatcher's own attempts. */
    public double ownWaitSeconds() {
        return ownWaitSeconds;
    }

    /** Returns how long the request would wait in all. */
    public double expectedWaitSeconds() {
        return expectedWaitSeconds;
    }

    /** Returns the mean time until a slot is free. */
    public double backlogSeconds() {
        return backlogSeconds;
    }
}
