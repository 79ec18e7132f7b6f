package wheelroute.net.loop;

import java.util.Arrays;

/**
 * Detects stalls of the process, whatever their cause, and determines how old the bytes that are
 * read after one may be. All that is unread at the end of a stall may have arrived at its start,
 * and that age counts against clients' timeouts. Only for the event loop's thread.
 */
final class StallDetector {
    /**
     * A pass of the selector that is later than this is taken for the end of a stall. Delays of
     * some milliseconds are normal on a busy machine.
     */
    private static final double STALL_THRESHOLD_SECONDS = 0.02;

    /**
     * Passes after which everything that arrived during a stall has been read. Accepting,
     * registering and reading a connection takes up to four.
     */
    private static final int CATCH_UP_PASSES = 6;

    /** The system reports at most this many ready sockets in a pass. */
    private static final int MAX_READY_SOCKETS = 512;

    private final Clock clock;

    /** When the selector last returned; initially, when this object was created. */
    private double lastPassAt;

    /**
     * For each of the last passes, the start of the stall that it ended; infinity if there was
     * none.
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
        // A stall may also occur within a pass, after the selector has returned.
        double thisPass = now - lastPassAt > STALL_THRESHOLD_SECONDS ? lastPassAt : now;
        return Math.min(thisPass, earliestStall());
    }

    /** Whether something that arrived during a stall may still be unread. */
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
     * @param connectionsWaiting whether connections from before this pass may still be waiting to
     *     be accepted
     */
    void onSelected(double maxWaitSeconds, int readySockets, boolean connectionsWaiting) {
        double now = clock.now();
        boolean isLate = now - lastPassAt - maxWaitSeconds > STALL_THRESHOLD_SECONDS;
        int last = CATCH_UP_PASSES - 1;
        if (!connectionsWaiting && (isLate || readySockets < MAX_READY_SOCKETS)) {
            System.arraycopy(stalledSince, 1, stalledSince, 0, last);
            stalledSince[last] = Double.POSITIVE_INFINITY;
        }
        if (isLate || connectionsWaiting) {
            stalledSince[last] = Math.min(stalledSince[last], lastPassAt);
        }
        lastPassAt = now;
    }
}
