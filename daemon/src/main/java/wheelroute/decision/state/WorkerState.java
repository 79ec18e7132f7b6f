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

/** The state of one worker at this dispatcher: its endpoint, attempts, health and statistics. */
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

    WorkerState(
            Ids.Worker id,
            Settings settings,
            TrafficStatistics traffic,
            SlowStartBudget.Limits slowStartLimits) {
        this.id = id;
        slowStartBudget = new SlowStartBudget(slowStartLimits);
        estimates = new WorkerEstimates(this, settings, traffic);
    }

    /** Returns the id of the worker in the endpoint list. */
    public Ids.Worker id() {
        return id;
    }

    /** Returns the latest entry of the endpoint list for the worker; null before there is one. */
    public Endpoint endpoint() {
        return endpoint;
    }

    /**
     * Returns the statistics of all workers of the same model; null before the worker is listed.
     */
    public ModelStatistics model() {
        return model;
    }

    /** Records an entry of the endpoint list for the worker and marks the worker as listed. */
    public void markListed(Endpoint newEndpoint, ModelStatistics newModel, boolean isInSameZone) {
        endpoint = newEndpoint;
        model = newModel;
        inSameZone = isInSameZone;
        listed = true;
    }

    /** Returns whether the worker is in the zone of this dispatcher. */
    public boolean isInSameZone() {
        return inSameZone;
    }

    /** Returns whether the worker is on the endpoint list, draining or not. */
    public boolean isListed() {
        return listed;
    }

    /** Records that the worker is no longer on the endpoint list. */
    public void clearListed() {
        listed = false;
    }

    /** Returns whether requests may be sent to the worker. */
    public boolean isReady() {
        return ready;
    }

    /** Sets whether requests may be sent to the worker. */
    public void setReady(boolean value) {
        ready = value;
    }

    /**
     * Returns whether the worker was removed from the endpoint list but may still get requests,
     * because removals are advisory. The first failure of the worker makes it not ready.
     */
    public boolean isRetainedAfterRemoval() {
        return retainedAfterRemoval;
    }

    /** Sets whether the worker was removed from the endpoint list but may still get requests. */
    public void setRetainedAfterRemoval(boolean value) {
        retainedAfterRemoval = value;
    }

    /** Returns the live list of attempts in flight, in the order in which they were sent. */
    public List<Attempt> inFlight() {
        return inFlight;
    }

    /** Returns the samples that were measured at this worker alone. */
    public WorkerStatistics statistics() {
        return statistics;
    }

    /** Returns the health of the worker as this dispatcher observes it. */
    public WorkerHealth health() {
        return health;
    }

    /** Returns the budget that limits the work sent to the worker during its slow start. */
    public SlowStartBudget slowStartBudget() {
        return slowStartBudget;
    }

    /** Returns the estimated speed, slots and waits of the worker. */
    public WorkerEstimates estimates() {
        return estimates;
    }

    /**
     * Returns whether the worker was ready and past its slow start at the last change of the
     * endpoint list. The value is not computed for every choice of a worker, to save CPU time.
     */
    public boolean isWarm() {
        return warm;
    }

    /** Sets whether the worker is ready and past its slow start. */
    public void setWarm(boolean value) {
        warm = value;
    }

    /** Returns the number of attempts sent to the worker so far. */
    public int attemptCount() {
        return attemptCount;
    }

    /** Counts an attempt sent to the worker; returns the new count. */
    public int countAttempt() {
        return ++attemptCount;
    }

    /**
     * Records that an attempt has begun. A worker begins attempts in the order in which they were
     * sent, so that all attempts in flight that were sent no later have begun as well.
     */
    public void inferStartsThrough(Attempt started, double now) {
        for (Attempt other : inFlight) {
            if (other.sentAt() <= started.sentAt()) {
                other.recordInferredStart(now);
            }
        }
    }
}
