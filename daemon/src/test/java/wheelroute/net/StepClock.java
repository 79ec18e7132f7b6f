package wheelroute.net;

/** The time as it is, until it is stopped; then it goes on in steps. */
final class StepClock extends Clock {
    private volatile double offset;
    private volatile double stoppedAt = Double.NaN;
    private int looksLeft;
    private double jump;

    @Override
    public double now() {
        passLook();
        double at = stoppedAt;
        return Double.isNaN(at) ? super.now() + offset : at;
    }

    void stop() {
        stoppedAt = now();
    }

    /** To be followed by a wake of the loop, which waits by the system's time. */
    @SuppressWarnings("NonAtomicVolatileUpdate") // The test's thread alone writes it.
    void step(double seconds) {
        stoppedAt += seconds;
    }

    /**
     * So much time passes all at once, as in a standstill, after so many more looks at the clock.
     */
    synchronized void jumpAfter(int looks, double seconds) {
        looksLeft = looks;
        jump = seconds;
    }

    private synchronized void passLook() {
        if (looksLeft > 0 && --looksLeft == 0) {
            step(jump);
        }
    }

    void goOn() {
        if (!Double.isNaN(stoppedAt)) {
            offset = stoppedAt - super.now();
            stoppedAt = Double.NaN;
        }
    }
}
