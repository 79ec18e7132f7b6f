package wheelroute.net.workers;

import wheelroute.net.Counters;
import wheelroute.net.End;

/** One launch on its way: connecting, written, ended. */
public final class Flight {
    final LaunchMessage message;
    final double outerLimit;
    private final Launches launches;
    private final Counters counters;
    private WorkerConnection on;
    private boolean written;
    private boolean ended;

    Flight(LaunchMessage message, double outerLimit, Launches launches, Counters counters) {
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
            giveUp(End.TIMED_OUT);
        }
        // The answer may end it, too.
        return !ended && launches.isWanted() && !ended;
    }

    void boarded(WorkerConnection connection) {
        on = connection;
    }

    void written() {
        written = true;
        counters.count(Counters.Kind.WRITTEN);
    }

    void started() {
        if (!ended) {
            launches.started();
        }
    }

    void progressed(double share) {
        if (!ended) {
            launches.progressed(share);
        }
    }

    void end(End end, byte[] result, double freeSlots) {
        if (!ended) {
            ended = true;
            launches.ended(end, result, freeSlots);
        }
    }

    void end(End end) {
        end(end, Launches.NO_RESULT, Double.NaN);
    }

    /**
     * Gives it up: its connection is closed before the end is told, so that no copy can overlap it.
     */
    public void giveUp(End end) {
        if (!ended) {
            // Ended already for the connection, whose close would else be taken for a break.
            ended = true;
            if (on != null) {
                on.close();
            }
            launches.ended(written ? end : End.ENDED_UNSENT, Launches.NO_RESULT, Double.NaN);
        }
    }
}
