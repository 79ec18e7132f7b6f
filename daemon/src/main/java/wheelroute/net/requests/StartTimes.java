package wheelroute.net.requests;

import java.util.ArrayDeque;
import java.util.Deque;
import wheelroute.net.loop.EventLoop;

/**
 * Converts workers' start times, which other machines read from their wall clocks, to the monotonic
 * clock of this process's event loop.
 *
 * <p>A wall clock may be stepped by seconds or by an hour, on all machines at once. A time read
 * before a step cannot be told from one read after it, so each offset that the wall clock has had
 * is a possible reading. The latest possible start is chosen, because a worker that is treated as
 * warm too early may be overloaded.
 *
 * <p>Times are Unix times in seconds. Only for the event loop's thread.
 */
final class StartTimes {
    /** A smaller change of the offset is clock drift, or the time between reading both clocks. */
    private static final double MIN_STEP_SECONDS = 0.5;

    /** The wall clocks of two machines may differ by this much. */
    private static final double MAX_CLOCK_SKEW_SECONDS = 1;

    /** The number of wall clock offsets that are remembered. */
    private static final int MAX_OFFSETS = 8;

    private final EventLoop loop;

    /**
     * How far the wall clock was ahead of the loop's clock, in seconds; the latest offset first.
     */
    private final Deque<Double> offsets = new ArrayDeque<>();

    StartTimes(EventLoop loop) {
        this.loop = loop;
        offsets.add(0.0);
    }

    /** Records a new offset if the wall clock has been stepped. */
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
     * Returns the start time on the loop's clock of a worker that has just been listed.
     *
     * @param listed its start by the wall clock of its machine; NaN if it is unknown or long ago,
     *     in which case NaN is returned
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
        // In the future by every known offset: the clock was stepped before this process started.
        return latest == Double.NEGATIVE_INFINITY ? now : latest;
    }
}
