package wheelroute.net.requests;

import java.util.ArrayDeque;
import java.util.Deque;
import wheelroute.net.loop.EventLoop;

/**
 * Converts the start times of workers from the wall clocks of other machines to the monotonic clock
 * of this process's event loop.
 *
 * <p>A wall clock may be stepped by seconds or by an hour, on all machines at once. Since a time
 * read before a step cannot be distinguished from one read after the step, any offset that the wall
 * clock has had may apply to a start time. The latest possible start is chosen, because a worker
 * that is treated as warm too early may be overloaded.
 *
 * <p>Times are Unix times in seconds. Used on the event loop's thread only.
 */
final class StartTimes {
    /**
     * The smallest change of the offset that counts as a step. Smaller changes are due to clock
     * drift, or to the time between the readings of the two clocks.
     */
    private static final double MIN_STEP_SECONDS = 0.5;

    /** The maximum difference between the wall clocks of two machines. */
    private static final double MAX_CLOCK_SKEW_SECONDS = 1;

    /** The maximum number of wall clock offsets that are kept. */
    private static final int MAX_OFFSETS = 8;

    private final EventLoop loop;

    /**
     * The offsets of the wall clock from the event loop's clock, in seconds, the latest one first.
     * An offset is positive if the wall clock is ahead.
     */
    private final Deque<Double> offsets = new ArrayDeque<>();

    StartTimes(EventLoop loop) {
        this.loop = loop;
        offsets.add(0.0);
    }

    /** Reads the wall clock, and records a new offset if the wall clock has been stepped. */
    void observeWallClock() {
        double offset = loop.wallTime() - loop.now();
        if (Math.abs(offset - offsets.getFirst()) >= MIN_STEP_SECONDS) {
            offsets.addFirst(offset);
            if (offsets.size() > MAX_OFFSETS) {
                offsets.removeLast();
            }
        }
    }

    /**
     * Returns the start time, on the event loop's clock, of a worker that has just been listed.
     *
     * @param listed the start time by the wall clock of the worker's machine; NaN if unknown or
     *     long ago, in which case NaN is returned
     */
    double toLoopTime(double listed) {
        if (Double.isNaN(listed)) {
            return listed;
        }
        double now = loop.now();
        double newest = listed - offsets.getFirst();
        double latest = newest <= now + MAX_CLOCK_SKEW_SECONDS ? newest : Double.NEGATIVE_INFINITY;
        for (double offset : offsets) {
            double start = listed - offset;
            latest = start <= now ? Math.max(latest, start) : latest;
        }
        // A start that is in the future by every known offset was read before a step that preceded
        // the start of this process.
        return latest == Double.NEGATIVE_INFINITY ? now : latest;
    }
}
