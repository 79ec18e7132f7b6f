package wheelroute.net.loop;

/**
 * A clock that follows the real time until a test stops it, and that the test then advances. {@link
 * #now} and {@link #wallTime} may be called on any thread, all other methods on the test's thread.
 */
public final class ManualClock extends Clock {
    /** Seconds by which this clock is ahead of the real time while it runs. */
    private volatile double offset;

    /** The time at which the clock was stopped; NaN while the clock runs. */
    private volatile double stoppedAt = Double.NaN;

    private volatile double wallClockOffset;
    private int readsUntilJump;
    private double jumpSeconds;

    @Override
    public double now() {
        countRead();
        double stopped = stoppedAt;
        return Double.isNaN(stopped) ? super.now() + offset : stopped;
    }

    @Override
    public double wallTime() {
        return now() + wallClockOffset;
    }

    /** Steps the wall clock, which does not affect {@link #now}. */
    @SuppressWarnings("NonAtomicVolatileUpdate") // Only the test's thread writes the field.
    public void stepWallClock(double seconds) {
        wallClockOffset += seconds;
    }

    /** Stops the clock at the current time. */
    public void stop() {
        stoppedAt = now();
    }

    /**
     * Advances the stopped clock. The event loop, which waits by the real time, must then be woken.
     */
    @SuppressWarnings("NonAtomicVolatileUpdate") // Only the test's thread writes the field.
    public void advance(double seconds) {
        stoppedAt += seconds;
    }

    /**
     * Advances the stopped clock at the nth reading from now, as if the process had been stalled.
     */
    public synchronized void jumpAfterReads(int reads, double seconds) {
        readsUntilJump = reads;
        jumpSeconds = seconds;
    }

    private synchronized void countRead() {
        if (readsUntilJump > 0 && --readsUntilJump == 0) {
            advance(jumpSeconds);
        }
    }

    /** Resumes the clock from the time at which it was stopped; has no effect while it runs. */
    public void resume() {
        if (!Double.isNaN(stoppedAt)) {
            offset = stoppedAt - super.now();
            stoppedAt = Double.NaN;
        }
    }
}
