package wheelroute.net.loop;

import java.util.Arrays;

/**
 * Detects stalls of the process, whatever their cause, and determines how old the bytes that are
 * read after a stall may be. All bytes that are unread at the end of a stall may have arrived at
 * its start, and their age counts against clients' timeouts. Used on the event loop's thread only.
 */
final class StallDetector {
    /**
     * A selector pass that is delayed by more than this time is considered the end of a stall.
     * Delays of some milliseconds are normal on a busy machine.
     */
    private static final double STALL_THRESHOLD_SECONDS = 0.02;

    /**
     * Number of selector passes after which all bytes that arrived during a stall have been read.
     * Accepting, registering and reading a connection takes up to four passes.
     */
    private static final int CATCH_UP_PASSES = 6;

    /** The maximum number of ready sockets that the operating system reports in one pass. */
    private static final int MAX_READY_SOCKETS = 512;

    private final Clock clock;

    /** Time at which the selector last returned; initially, the time of creation. */
    private double lastPassAt;

    /**
     * For each of the last selector passes, the start of the stall that the pass ended; infinity if
     * it ended none.
     */
    private final double[] stalledSince = new double[CATCH_UP_PASSES];

    StallDetector(Clock clock) {
        this.clock = clock;
        lastPassAt = clock.now();
        Arrays.fill(stalledSince, Double.POSITIVE_INFINITY);
    }

    /** Returns the earliest time at which bytes that are read now may have arrived. */
    double earliestArrival() {
        double now = clock.now();
        // A stall may also occur after the selector has returned, before the pass ends.
        double earliestInPass = now - lastPassAt > STALL_THRESHOLD_SECONDS ? lastPassAt : now;
        return Math.min(earliestInPass, earliestStall());
    }

    /** Whether bytes that arrived during a stall may still be unread. */
    boolean isCatchingUp() {
        return earliestStall() < Double.POSITIVE_INFINITY;
    }

    private double earliestStall() {
        double earliest = Double.POSITIVE_INFINITY;
        for (double since : stalledSince) {
            earliest = Math.min(earliest, since);
        }
        return earliest;
    }

    /**
     * Records that the selector has returned.
     *
     * @param maxWaitSeconds how long the selector was allowed to wait
     * @param readySockets how many ready sockets it reported
     * @param connectionsPending whether connections from before this pass may still be pending
     */
    void onSelected(double maxWaitSeconds, int readySockets, boolean connectionsPending) {
        double now = clock.now();
        boolean isLate = now - lastPassAt - maxWaitSeconds > STALL_THRESHOLD_SECONDS;
        int last = CATCH_UP_PASSES - 1;
        if (!connectionsPending && (isLate || readySockets < MAX_READY_SOCKETS)) {
            System.arraycopy(stalledSince, 1, stalledSince, 0, last);
            stalledSince[last] = Double.POSITIVE_INFINITY;
        }
        if (isLate || connectionsPending) {
            stalledSince[last] = Math.min(stalledSince[last], lastPassAt);
        }
        lastPassAt = now;
    }
}
