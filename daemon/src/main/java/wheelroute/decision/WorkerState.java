package wheelroute.decision;

import java.util.ArrayList;
import java.util.List;
import wheelroute.limits.SlowStartBudget;

/** A worker as this dispatcher knows it: its endpoint, its attempts and its own record. */
final class WorkerState {
    private static final int SAMPLE_COUNT = 8;

    private final Ids.Worker id;
    private final List<Attempt> inFlight = new ArrayList<>();
    private final WorkerStatistics statistics = new WorkerStatistics(SAMPLE_COUNT);
    private final WorkerHealth health;
    private final SlowStartBudget slowStartBudget;
    private final WorkerEstimates estimates;
    private Endpoint endpoint;
    private ModelStatistics model;
    private boolean ready;
    private boolean listed;
    private boolean unlisted;
    private boolean inSameZone;
    private boolean warm;
    private int attemptCount;
    private int affinityRank = KeyAffinity.CACHED;
    private double cost;

    WorkerState(Ids.Worker id, DispatcherState state, double trialDelay) {
        this.id = id;
        health = new WorkerHealth(trialDelay);
        slowStartBudget = new SlowStartBudget(state.slowStartLimits());
        estimates = new WorkerEstimates(this, state);
    }

    Ids.Worker id() {
        return id;
    }

    /** As it was last listed. */
    Endpoint endpoint() {
        return endpoint;
    }

    /** What is measured of all workers of its model. */
    ModelStatistics model() {
        return model;
    }

    void list(Endpoint newEndpoint, ModelStatistics newModel, boolean isInSameZone) {
        endpoint = newEndpoint;
        model = newModel;
        inSameZone = isInSameZone;
        listed = true;
    }

    /** In its dispatcher's own zone. */
    boolean isInSameZone() {
        return inSameZone;
    }

    /** The endpoint list names it, draining or not. */
    boolean isListed() {
        return listed;
    }

    void clearListed() {
        listed = false;
    }

    /** Requests may be sent to it. */
    boolean isReady() {
        return ready;
    }

    void setReady(boolean value) {
        ready = value;
    }

    /** It is missing from the list, which is no proof that it is gone: one failure settles it. */
    boolean isUnlisted() {
        return unlisted;
    }

    void setUnlisted(boolean value) {
        unlisted = value;
    }

    /** Attempts in flight, in the order in which they were sent. */
    List<Attempt> inFlight() {
        return inFlight;
    }

    WorkerStatistics statistics() {
        return statistics;
    }

    WorkerHealth health() {
        return health;
    }

    SlowStartBudget slowStartBudget() {
        return slowStartBudget;
    }

    WorkerEstimates estimates() {
        return estimates;
    }

    /** It was ready and warm at the list's last change, which spares asking at every choice. */
    boolean isWarm() {
        return warm;
    }

    void setWarm(boolean value) {
        warm = value;
    }

    /** Attempts sent to it so far. */
    int attemptCount() {
        return attemptCount;
    }

    int countAttempt() {
        return ++attemptCount;
    }

    /**
     * For the request now placed: the worker's place among those preferred for its key, {@link
     * KeyAffinity#PREFERRED_COUNT} for all others, {@link KeyAffinity#CACHED} where no miss is
     * expected.
     */
    int affinityRank() {
        return affinityRank;
    }

    void setAffinityRank(int rank) {
        affinityRank = rank;
    }

    /** The admittance cost of the request now placed; infinite where it must not go. */
    double cost() {
        return cost;
    }

    void setCost(double newCost) {
        cost = newCost;
    }

    /** Attempts begin in the order of their sends: what was sent before one that began has too. */
    void noteOvertaken(Attempt begun, double now) {
        for (Attempt other : inFlight) {
            if (other.sentAt <= begun.sentAt) {
                other.heardAtLatest(now);
            }
        }
    }
}
