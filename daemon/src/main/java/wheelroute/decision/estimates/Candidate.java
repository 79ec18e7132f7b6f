package wheelroute.decision.estimates;

import wheelroute.decision.routing.KeyAffinity;
import wheelroute.decision.state.WorkerState;

/**
 * The estimates of one worker for the request that is being placed. To save allocations, each
 * worker has a single instance that every new {@link FleetSnapshot} overwrites; callers must not
 * keep the instance after the choice of a worker.
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

    public WorkerState worker() {
        return worker;
    }

    /**
     * Returns the rank of the worker, from 0, among those preferred for the request's key, {@link
     * KeyAffinity#PREFERRED_COUNT} for all other workers, or {@link KeyAffinity#CACHED} if no cache
     * miss is expected.
     */
    public int affinityRank() {
        return affinityRank;
    }

    /** Returns the number of jobs that the worker runs at the same time. */
    public int slots() {
        return slots;
    }

    /** Returns the work that one slot of the worker does in a second. */
    public double speed() {
        return speed;
    }

    /**
     * Returns how long the request would wait behind this dispatcher's own attempts, in seconds.
     */
    public double ownWaitSeconds() {
        return ownWaitSeconds;
    }

    /** Returns how long the request would wait in total, in seconds. */
    public double expectedWaitSeconds() {
        return expectedWaitSeconds;
    }

    /** Returns the mean time until a slot of the worker is free, in seconds. */
    public double backlogSeconds() {
        return backlogSeconds;
    }
}
