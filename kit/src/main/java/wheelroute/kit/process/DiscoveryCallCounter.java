package wheelroute.kit.process;

import java.util.ArrayDeque;

/** Calls to the list service by all dispatchers: the most of them in any one second counts. */
final class DiscoveryCallCounter {
    private final ArrayDeque<Double> recentCalls = new ArrayDeque<>();
    private long total;
    private int maxPerSecond;

    void record(double now) {
        total++;
        recentCalls.addLast(now);
        while (recentCalls.peekFirst() <= now - 1) {
            recentCalls.pollFirst();
        }
        maxPerSecond = Math.max(maxPerSecond, recentCalls.size());
    }

    /** What was before the run's own time does not count: all start at once then. */
    void reset() {
        total = 0;
        maxPerSecond = 0;
        recentCalls.clear();
    }

    long total() {
        return total;
    }

    int maxPerSecond() {
        return maxPerSecond;
    }
}
