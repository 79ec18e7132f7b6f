package wheelroute.decision.state;

/**
 * The time of the event that is being decided on, in seconds on the clock of whoever drives the
 * policy. It stands still while one event is decided on.
 */
public final class DecisionClock {
    private double now;

    /** Returns the time of the present event. */
    public double now() {
        return now;
    }

    /** Sets the time of the events that follow. */
    public void advanceTo(double time) {
        now = time;
    }
}
