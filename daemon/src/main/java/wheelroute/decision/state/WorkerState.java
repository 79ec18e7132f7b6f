package wheelroute.decision.state;

import java.util.ArrayList;
import java.util.List;
import wheelroute.decision.Endpoint;
import wheelroute.decision.Ids;
import wheelroute.decision.Settings;
import wheelroute.decision.estimates.ModelStatistics;
import wheelroute.decision.estimates.TrafficStatistics;
import wheelroute.decision.estimates.WorkerEstimates;
import wheelroute.decision.estimates.WorkerStatistics;
import wheelroute.decision.health.OutlierEjection;
import wheelroute.decision.health.WorkerHealth;
import wheelroute.decision.slowstart.SlowStartBudget;

/** A worker as this dispatcher knows it: its endpoint, its attempts and its own record. */
public final class WorkerState {
    private static final int SAMPLE_COUNT = 8;

    private final Ids.Worker id;
    private final List<Attempt> inFlight = new ArrayList<>();
    private final WorkerStatistics statistics = new WorkerStatistics(SAMPLE_COUNT);
    private final WorkerHealth health = new WorkerHealth(OutlierEjection.FIRST_TRIAL_DELAY_SECONDS);
    private final SlowStartBudget slowStartBudget;
    private final WorkerEstimates estimates;
    private Endpoint endpoint;
    private ModelStatistics model;
    private boolean ready;
    private boolean listed;
    private boolean retainedAfterRemoval;
    private boolean inSameZone;
    private boolean warm;
    private int attemptCount;

    /** Creates a worker that is not listed yet. */
    WorkerState(
            Ids.Worker id,
            Settings settings,
            TrafficStatistics traffic,
            SlowStartBudget.Limits slowStartLimits) {
        this.id = id;
        slowStartBudget = new SlowStartBudget(slowStartLimits);
        estimates = new WorkerEstimates(this, settings, traffic);
    }

    /** Returns the id that the endpoint list has for it. */
    public Ids.Worker id() {
        return id;
    }

    /** Returns the endpoint as it was last listed. */
    public Endpoint endpoint() {
        return endpoint;
    }

    /** Returns what is measured of all workers of its model. */
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

    /** Whether it is in this dispatcher's own zone. */
    public boolean isInSameZone() {
        return inSameZone;
    }

    /** Whether the endpoint list names it, draining or not. */
    public boolean isListed() {
        return listed;
    }

    /** Records that the endpoint list no longer names it. */
    public void clearListed() {
        listed = false;
    }

    /** Whether requests may be sent to it. */
    public boolean isReady() {
        return ready;
    }

    /** Sets whether requests may be sent to it. */
    public void setReady(boolean value) {
        ready = value;
    }

    /**
     * Whether it is missing from the list but may still be sent to, as removals are advisory: the
     * first failure ends that.
     */
    public boolean isRetainedAfterRemoval() {
        return retainedAfterRemoval;
    }

    /** Sets whether it is missing from the list but may still be sent to. */
    public void setRetainedAfterRemoval(boolean value) {
        retainedAfterRemoval = value;
    }

    /** Returns the attempts in flight, in the order in which they were sent. */
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

    /**
     * Whether it was ready and past its slow start at the list's last change. Not worked out at
     * every choice, to save time.
     */
    public boolean isWarm() {
        return warm;
    }

    /** Sets whether it was ready and past its slow start at the list's last change. */
    public void setWarm(boolean value) {
        warm = value;
    }

    /** Returns the number of attempts sent to it so far. */
    public int attemptCount() {
        return attemptCount;
    }

    /** Counts an attempt sent to it; returns the new count. */
    public int countAttempt() {
        return ++attemptCount;
    }

    /**
     * Records that an attempt has begun. Attempts begin in the order of their sends, so those in
     * flight that were sent earlier have begun as well.
     */
    public void recordBegun(Attempt begun, double now) {
        for (Attempt other : inFlight) {
            if (other.sentAt() <= begun.sentAt()) {
                other.recordBegunBy(now);
            }
        }
    }
}
