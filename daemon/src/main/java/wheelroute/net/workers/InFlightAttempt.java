package wheelroute.net.workers;

import wheelroute.net.AttemptResult;
import wheelroute.net.Counters;

/** One launch on its way: connecting, written, ended. */
public final class InFlightAttempt {
    final AttemptRequest message;
    final double outerLimit;
    private final AttemptListener launches;
    private final Counters counters;
    private WorkerConnection on;
    private boolean written;
    private boolean ended;

    InFlightAttempt(
            AttemptRequest message,
            double outerLimit,
            AttemptListener launches,
            Counters counters) {
        this.message = message;
        this.outerLimit = outerLimit;
        this.launches = launches;
        this.counters = counters;
    }

    boolean hasEnded() {
        return ended;
    }

    /** True once its last byte has been handed to the network: from then on it may run. */
    public boolean isWritten() {
        return written;
    }

    /** It has waited for a connection: the client, or its time, may have gone meanwhile. */
    boolean mayGo(double now) {
        if (!ended && now >= outerLimit) {
            giveUp(AttemptResult.TIMED_OUT);
        }
        // The answer may end it, too.
        return !ended && launches.isStillWanted() && !ended;
    }

    void boarded(WorkerConnection connection) {
        on = connection;
    }

    void written() {
        written = true;
        counters.count(Counters.Counter.ATTEMPTS_WRITTEN);
    }

    void started() {
        if (!ended) {
            launches.onStarted();
        }
    }

    void progressed(double share) {
        if (!ended) {
            launches.onProgress(share);
        }
    }

    void end(AttemptResult end, byte[] result, double freeSlots) {
        if (!ended) {
            ended = true;
            launches.onEnded(end, result, freeSlots);
        }
    }

    void end(AttemptResult end) {
        end(end, AttemptListener.NO_RESULT, Double.NaN);
    }

    /**
     * Gives it up: its connection is closed before the end is told, so that no copy can overlap it.
     */
    public void giveUp(AttemptResult end) {
        if (!ended) {
            // Ended already for the connection, whose close would else be taken for a break.
            ended = true;
            if (on != null) {
                on.close();
            }
            launches.onEnded(
                    written ? end : AttemptResult.NOT_SENT, AttemptListener.NO_RESULT, Double.NaN);
        }
    }
}
