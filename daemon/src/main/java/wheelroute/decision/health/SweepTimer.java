package wheelroute.decision.health;

import wheelroute.decision.ActionHandler;
import wheelroute.decision.state.DecisionClock;

/**
 * Schedules the sweeps that inspect the workers with attempts in flight and the queues of keys. No
 * sweep is scheduled while the dispatcher is idle, because many dispatchers may share a machine.
 */
public final class SweepTimer {
    /**
     * The time between two sweeps, which is well below the shortest time after which a worker
     * counts as unresponsive.
     */
    public static final double INTERVAL_SECONDS = 0.1;

    private final DecisionClock clock;
    private final ActionHandler actions;
    private boolean scheduled;
    private double earliestSweepAt;

    /** Creates a timer without a scheduled sweep. */
    public SweepTimer(DecisionClock clock, ActionHandler actions) {
        this.clock = clock;
        this.actions = actions;
    }

    /**
     * Begins the scheduled sweep if a wakeup is for it. Returns false if the wakeup comes too
     * early, as it may be one for the queue of a key.
     */
    public boolean beginIfDue() {
        if (clock.now() < earliestSweepAt) {
            return false;
        }
        scheduled = false;
        return true;
    }

    /** Schedules the next sweep unless one is scheduled already. */
    public void schedule() {
        if (!scheduled) {
            scheduled = true;
            earliestSweepAt = clock.now() + INTERVAL_SECONDS / 2;
            actions.scheduleWakeup(INTERVAL_SECONDS);
        }
    }
}
