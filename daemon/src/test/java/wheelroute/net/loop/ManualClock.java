package wheelroute.net.loop;

/**
 * A clock that follows the real time until a test stops it, and that the test then advances. {@link
 * #now} and {@link #wallTime} are for any thread, all other methods for the test's thread.
 */
public final class ManualClock extends Clock {
    /** How far this clock is ahead of the real time while it runs, in seconds. */
    private volatile double offset;

    /** NaN while the clock runs. */
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

    /** Steps the wall clock, by which {@link #now} is not affected. */
    @SuppressWarnings("NonAtomicVolatileUpdate") // The test's thread alone writes it.
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
    @SuppressWarnings("NonAtomicVolatileUpdate") // The test's thread alone writes it.
    public void step(double seconds) {
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
            step(jumpSeconds);
        }
    }

    /** Lets the clock run on from the time at which it stands; does nothing while it runs. */
    public void resume() {
        if (!Double.isNaN(stoppedAt)) {
            offset = stoppedAt - super.now();
            stoppedAt = Double.NaN;
        }
    }
}
