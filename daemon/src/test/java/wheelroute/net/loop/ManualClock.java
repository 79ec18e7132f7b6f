package wheelroute.net.loop;

/** A clock that a test may stop, and then move in steps. */
public final class ManualClock extends Clock {
    private volatile double offset;
    private volatile double stoppedAt = Double.NaN;
    private volatile double wallStep;
    private int readsLeft;
    private double jump;

    @Override
    public double now() {
        countRead();
        double at = stoppedAt;
        return Double.isNaN(at) ? super.now() + offset : at;
    }

    @Override
    public double wallTime() {
        return now() + wallStep;
    }

    /** Steps the wall clock; the time line goes on as before. */
    @SuppressWarnings("NonAtomicVolatileUpdate") // The test's thread alone writes it.
    public void stepWallClock(double seconds) {
        wallStep += seconds;
    }

    public void stop() {
        stoppedAt = now();
    }

    /** The loop has to be woken after this: it waits by the system's clock. */
    @SuppressWarnings("NonAtomicVolatileUpdate") // The test's thread alone writes it.
    public void step(double seconds) {
        stoppedAt += seconds;
    }

    /** After so many more readings the clock jumps, as in a standstill of the process. */
    public synchronized void jumpAfterReads(int reads, double seconds) {
        readsLeft = reads;
        jump = seconds;
    }

    private synchronized void countRead() {
        if (readsLeft > 0 && --readsLeft == 0) {
            step(jump);
        }
    }

    public void resume() {
        if (!Double.isNaN(stoppedAt)) {
            offset = stoppedAt - super.now();
            stoppedAt = Double.NaN;
        }
    }
}
