package wheelroute.decision.health;

import wheelroute.decision.state.DispatcherState;

/** When workers with attempts in flight are looked through for overdue ones. */
public final class SweepTimer {
    /** Seconds between two sweeps: well under the shortest time that a silence is borne. */
    public static final double INTERVAL = 0.1;

    private final DispatcherState state;
    private boolean scheduled;
    private double earliest;

    /** Creates a timer that is not scheduled yet. */
    public SweepTimer(DispatcherState state) {
        this.state = state;
    }

    /** Whether a wakeup is this timer's; another one may have been asked for by a queue. */
    public boolean begin() {
        if (state.now() < earliest) {
            return false;
        }
        scheduled = false;
        return true;
    }

    /**
     * An idle dispatcher is not woken: a fleet of them would spend its time on looking at nothing.
     */
    public void schedule() {
        boolean needed = !state.workers().busy().isEmpty() || !state.keyQueues().isEmpty();
        if (needed && !scheduled) {
            scheduled = true;
            earliest = state.now() + INTERVAL / 2;
            state.actions().scheduleWakeup(INTERVAL);
        }
    }
}
