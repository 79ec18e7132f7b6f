package wheelroute.net.loop;

import java.util.Arrays;

/**
 * Tells how old the bytes that are read now may be. After the process has stood still, whatever the
 * reason, all that lies unread may have arrived when it stopped: its age counts against timeouts.
 * Only for the event loop's thread.
 */
final class StallDetector {
    /**
     * A pass is late by more than this, in seconds. A busy machine causes delays of some
     * milliseconds, which do no harm.
     */
    private static final double LATE_THRESHOLD = 0.02;

    /**
     * Passes until what lay unread has been read: a connection is accepted, registered and read
     * within four.
     */
    private static final int PASSES_TO_READ = 6;

    /**
     * The system reports at most this many ready sockets at a time, the others in the next pass.
     */
    private static final int MAX_READY = 512;

    private final Clock clock;

    /** When the selector last returned; before that, when this was made. */
    private double lastPassAt;

    /**
     * For each of the last passes: since when sockets had not been looked at, if it was late, else
     * infinity.
     */
    private final double[] unseenSince = new double[PASSES_TO_READ];

    StallDetector(Clock clock) {
        this.clock = clock;
        lastPassAt = clock.now();
        Arrays.fill(unseenSince, Double.POSITIVE_INFINITY);
    }

    /** The earliest time at which what is read now may have arrived. */
    double earliestArrival() {
        double now = clock.now();
        // Also in the middle of a pass: more may be read than the selector reported.
        double thisPass = now - lastPassAt > LATE_THRESHOLD ? lastPassAt : now;
        return Math.min(thisPass, earliestUnseen());
    }

    /** Whether what arrived during a standstill may still lie unread. */
    boolean isCatchingUp() {
        return earliestUnseen() < Double.POSITIVE_INFINITY;
    }

    private double earliestUnseen() {
        double earliest = Double.POSITIVE_INFINITY;
        for (double since : unseenSince) {
            earliest = Math.min(earliest, since);
        }
        return earliest;
    }

    /**
     * Notes that the selector has returned.
     *
     * @param wait how long it was to wait at most, in seconds
     * @param ready how many sockets it reported
     * @param connectionsWait whether connections from before the last pass may not be accepted yet
     */
    void onSelected(double wait, int ready, boolean connectionsWait) {
        double now = clock.now();
        boolean late = now - lastPassAt - wait > LATE_THRESHOLD;
        int last = PASSES_TO_READ - 1;
        if (!connectionsWait && (late || ready < MAX_READY)) {
            System.arraycopy(unseenSince, 1, unseenSince, 0, last);
            unseenSince[last] = Double.POSITIVE_INFINITY;
        }
        if (late || connectionsWait) {
            unseenSince[last] = Math.min(unseenSince[last], lastPassAt);
        }
        lastPassAt = now;
    }
}
