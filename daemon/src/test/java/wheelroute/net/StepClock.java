package wheelroute.net;

/** The time as it is, until it is stopped; then it goes on in steps. */
final class StepClock extends Clock {
    private volatile double offset;
    private volatile double stoppedAt = Double.NaN;

    @Override
    public double now() {
        double at = stoppedAt;
        return Double.isNaN(at) ? super.now() + offset : at;
    }

    void stop() {
        stoppedAt = now();
    }

    /** To be followed by a wake of the loop, which waits by the system's time. */
    void step(double seconds) {
        stoppedAt += seconds;
    }

    void goOn() {
        if (!Double.isNaN(stoppedAt)) {
            offset = stoppedAt - super.now();
            stoppedAt = Double.NaN;
        }
    }
}
