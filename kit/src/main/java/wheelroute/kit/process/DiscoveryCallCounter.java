package wheelroute.kit.process;

import java.util.ArrayDeque;

/** Calls to the list service by all dispatchers: the most of them in any one second counts. */
final class DiscoveryCallCounter {
    private final ArrayDeque<Double> last = new ArrayDeque<>();
    private long all;
    private int most;

    void called(double now) {
        all++;
        last.addLast(now);
        while (last.peekFirst() <= now - 1) {
            last.pollFirst();
        }
        most = Math.max(most, last.size());
    }

    /** What was before the run's own time does not count: all start at once then. */
    void beginsNow() {
        all = 0;
        most = 0;
        last.clear();
    }

    long all() {
        return all;
    }

    int most() {
        return most;
    }
}
