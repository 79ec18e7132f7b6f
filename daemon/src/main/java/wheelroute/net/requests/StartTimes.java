package wheelroute.net.requests;

import java.util.ArrayDeque;
import java.util.Deque;
import wheelroute.net.loop.EventLoop;

/**
 * Start times of workers, which other machines read from their wall clocks, on this process's own
 * time line. A wall clock may be stepped, by seconds or by an hour, on all machines at once; the
 * time line here is monotonic. A time that was read before a step cannot be told from one read
 * after it: of the readings that are possible the latest start is taken, as a worker that is
 * treated as warm too soon may collapse.
 *
 * <p>Times are Unix times in seconds. Only for the event loop's thread.
 */
final class StartTimes {
    /** Less is drift, or the two clocks read one after the other. */
    private static final double MIN_STEP = 0.5;

    /** Machines' clocks may differ by this much. */
    private static final double SKEW = 1;

    /** Readings of a clock that was stepped more often are forgotten. */
    private static final int MAX_OFFSETS = 8;

    private final EventLoop loop;

    /** How far the wall clock was ahead of the time line, the latest reading first. */
    private final Deque<Double> offsets = new ArrayDeque<>();

    StartTimes(EventLoop loop) {
        this.loop = loop;
        offsets.add(0.0);
    }

    /** Looks whether the wall clock has been stepped. */
    void observeWallClock() {
        double offset = loop.wallTime() - loop.now();
        if (Math.abs(offset - offsets.getFirst()) >= MIN_STEP) {
            offsets.addFirst(offset);
            if (offsets.size() > MAX_OFFSETS) {
                offsets.removeLast();
            }
        }
    }

    /**
     * When a worker started that has just been listed with this start time.
     *
     * @param listed by the wall clock of its machine; NaN when it is unknown, or long ago
     */
    double toTimeLine(double listed) {
        if (Double.isNaN(listed)) {
            return listed;
        }
        double now = loop.now();
        double newest = listed - offsets.getFirst();
        double latest = newest <= now + SKEW ? newest : Double.NEGATIVE_INFINITY;
        for (double offset : offsets) {
            double start = listed - offset;
            latest = start <= now ? Math.max(latest, start) : latest;
        }
        // By every reading it has yet to start: the step was before this process, so it is now.
        return latest == Double.NEGATIVE_INFINITY ? now : latest;
    }
}
