package wheelroute.decision.state;

/**
 * Holds the time of the event that the policy is handling, in seconds on the clock of the policy's
 * caller. The time does not change while one event is handled.
 */
public final class DecisionClock {
    private double now;

    /** Returns the time of the current event, in seconds. */
    public double now() {
        return now;
    }

    /** Sets the time of the events that follow, in seconds. */
    public void advanceTo(double time) {
        now = time;
    }
}
