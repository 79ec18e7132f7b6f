package wheelroute.decision.state;

import java.util.ArrayList;
import java.util.List;
import wheelroute.decision.Endpoint;
import wheelroute.decision.Ids;
import wheelroute.decision.estimates.ModelStatistics;
import wheelroute.decision.estimates.WorkerEstimates;
import wheelroute.decision.estimates.WorkerStatistics;
import wheelroute.decision.health.WorkerHealth;
import wheelroute.decision.routing.KeyAffinity;
import wheelroute.decision.slowstart.SlowStartBudget;

/** A worker as this dispatcher knows it: its endpoint, its attempts and its own record. */
public final class WorkerState {
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

    /** Creates a worker that is not listed yet. */
    public WorkerState(Ids.Worker id, DispatcherState state, double trialDelay) {
        this.id = id;
        health = new WorkerHealth(trialDelay);
        slowStartBudget = new SlowStartBudget(state.slowStartLimits());
        estimates = new WorkerEstimates(this, state);
    }

    /** Returns the id that the endpoint list has for it. */
    public Ids.Worker id() {
        return id;
    }

    /** As it was last listed. */
    public Endpoint endpoint() {
        return endpoint;
    }

    /** What is measured of all workers of its model. */
    public ModelStatistics model() {
        return model;
    }

    /** Records the endpoint list's latest entry. */
    public void list(Endpoint newEndpoint, ModelStatistics newModel, boolean isInSameZone) {
        endpoint = newEndpoint;
        model = newModel;
        inSameZone = isInSameZone;
        listed = true;
    }

    /** In its dispatcher's own zone. */
    public boolean isInSameZone() {
        return inSameZone;
    }

    /** The endpoint list names it, draining or not. */
    public boolean isListed() {
        return listed;
    }

    /** Records that the endpoint list no longer names it. */
    public void clearListed() {
        listed = false;
    }

    /** Requests may be sent to it. */
    public boolean isReady() {
        return ready;
    }

    /** Sets whether requests may be sent to it. */
    public void setReady(boolean value) {
        ready = value;
    }

    /** It is missing from the list, which is no proof that it is gone: one failure settles it. */
    public boolean isUnlisted() {
        return unlisted;
    }

    /** Sets whether it is missing from the list without proof that it is gone. */
    public void setUnlisted(boolean value) {
        unlisted = value;
    }

    /** Attempts in flight, in the order in which they were sent. */
    public List<Attempt> inFlight() {
        return inFlight;
    }

    /** Returns the samples measured of it. */
    public WorkerStatistics statistics() {
        return statistics;
    }

    /** Returns its health as seen here. */
    public WorkerHealth health() {
        return health;
    }

    /** Returns the budget that limits it while it warms up. */
    public SlowStartBudget slowStartBudget() {
        return slowStartBudget;
    }

    /** Returns its estimated speed and waits. */
    public WorkerEstimates estimates() {
        return estimates;
    }

    /** It was ready and warm at the list's last change, which spares asking at every choice. */
    public boolean isWarm() {
        return warm;
    }

    /** Sets whether it was ready and warm at the list's last change. */
    public void setWarm(boolean value) {
        warm = value;
    }

    /** Attempts sent to it so far. */
    public int attemptCount() {
        return attemptCount;
    }

    /** Counts an attempt sent to it; returns the new count. */
    public int countAttempt() {
        return ++attemptCount;
    }

    /**
     * For the request now placed: the worker's place among those preferred for its key, {@link
     * KeyAffinity#PREFERRED_COUNT} for all others, {@link KeyAffinity#CACHED} where no miss is
     * expected.
     */
    public int affinityRank() {
        return affinityRank;
    }

    /** Sets its affinity rank for the request now placed. */
    public void setAffinityRank(int rank) {
        affinityRank = rank;
    }

    /** The admittance cost of the request now placed; infinite where it must not go. */
    public double cost() {
        return cost;
    }

    /** Sets the admittance cost of the request now placed. */
    public void setCost(double newCost) {
        cost = newCost;
    }

    /** Attempts begin in the order of their sends: what was sent before one that began has too. */
    public void noteOvertaken(Attempt begun, double now) {
        for (Attempt other : inFlight) {
            if (other.sentAt <= begun.sentAt) {
                other.heardAtLatest(now);
            }
        }
    }
}
