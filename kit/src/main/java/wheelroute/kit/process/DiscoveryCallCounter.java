package wheelroute.kit.process;

import java.util.ArrayDeque;

/**
 * Counts the calls that discovery receives from all dispatchers, and the highest number of them
 * within one second.
 */
final class DiscoveryCallCounter {
    private static final double WINDOW_SECONDS = 1;

    private final ArrayDeque<Double> recentCalls = new ArrayDeque<>();
    private long total;
    private int maxPerSecond;

    /**
     * Records a call.
     *
     * @param now time of the call in seconds; must not be less than that of the call before
     */
    void record(double now) {
        total++;
        recentCalls.addLast(now);
        while (recentCalls.peekFirst() <= now - WINDOW_SECONDS) {
            recentCalls.pollFirst();
        }
        maxPerSecond = Math.max(maxPerSecond, recentCalls.size());
    }

    /**
     * Discards all recorded calls. Called after the simultaneous start of the dispatchers, whose
     * calls are not part of a run.
     */
    void reset() {
        total = 0;
        maxPerSecond = 0;
        recentCalls.clear();
    }

    long total() {
        return total;
    }

    /** Returns the largest number of calls within any period of one second. */
    int maxPerSecond() {
        return maxPerSecond;
    }
}
