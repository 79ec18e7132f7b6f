package wheelroute.net.loop;

import static wheelroute.units.TimeUnits.MILLIS_PER_SECOND;
import static wheelroute.units.TimeUnits.NANOS_PER_SECOND;

/**
 * A monotonic clock that shows Unix time in seconds. It starts from the wall clock and follows the
 * system's monotonic timer from then on, so that a step of the wall clock does not move deadlines.
 * Thread-safe.
 */
public class Clock {
    private final double startedAt = System.currentTimeMillis() / MILLIS_PER_SECOND;
    private final long startNanos = System.nanoTime();

    /**
     * Returns the Unix time in seconds by the wall clock, which may have been stepped since this
     * clock was created.
     */
    public double wallTime() {
        return System.currentTimeMillis() / MILLIS_PER_SECOND;
    }

    /** Returns the Unix time in seconds by the monotonic timer, which never goes back. */
    public double now() {
        return startedAt + (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    }
}
