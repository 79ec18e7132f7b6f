package wheelroute.decision.health;

import wheelroute.decision.ActionHandler;
import wheelroute.decision.state.DecisionClock;

/**
 * Schedules the sweeps in which workers with attempts in flight and the queues of keys are
 * inspected. An idle dispatcher is not woken, as many of them may share a machine.
 */
public final class SweepTimer {
    /** Between two sweeps: well below the shortest time after which a worker is unresponsive. */
    public static final double INTERVAL_SECONDS = 0.1;

    private final DecisionClock clock;
    private final ActionHandler actions;
    private boolean scheduled;
    private double earliest;

    /** Creates a timer that is not scheduled yet. */
    public SweepTimer(DecisionClock clock, ActionHandler actions) {
        this.clock = clock;
        this.actions = actions;
    }

    /** Returns whether a wakeup is for a sweep; it may be one for a key's queue. */
    public boolean begin() {
        if (clock.now() < earliest) {
            return false;
        }
        scheduled = false;
        return true;
    }

    /** Schedules the next sweep, unless it is scheduled already. */
    public void schedule() {
        if (!scheduled) {
            scheduled = true;
            earliest = clock.now() + INTERVAL_SECONDS / 2;
            actions.scheduleWakeup(INTERVAL_SECONDS);
        }
    }
}
