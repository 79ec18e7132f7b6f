package wheelroute.kit.process;

import java.util.ArrayDeque;

/** Counts the calls that discovery gets from all dispatchers, and the most within one second. */
final class DiscoveryCallCounter {
    private static final double WINDOW_SECONDS = 1;

    private final ArrayDeque<Double> recentCalls = new ArrayDeque<>();
    private long total;
    private int maxPerSecond;

    /** Records a call; {@code now} must not decrease. */
    void record(double now) {
        total++;
        recentCalls.addLast(now);
        while (recentCalls.peekFirst() <= now - WINDOW_SECONDS) {
            recentCalls.pollFirst();
        }
        maxPerSecond = Math.max(maxPerSecond, recentCalls.size());
    }

    /** Forgets all calls, as those of the simultaneous start, which are not part of a run. */
    void reset() {
        total = 0;
        maxPerSecond = 0;
        recentCalls.clear();
    }

    long total() {
        return total;
    }

    /** Returns the largest number of calls within any second. */
    int maxPerSecond() {
        return maxPerSecond;
    }
}
