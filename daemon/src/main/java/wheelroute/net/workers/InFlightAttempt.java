package wheelroute.net.workers;

import wheelroute.net.metrics.Counters;

/** One attempt from its start to its end. Only for the event loop's thread. */
public final class InFlightAttempt {
    private final AttemptRequest message;

    /** Unix time in seconds. */
    private final double deadline;

    private final AttemptListener listener;
    private final Counters counters;

    /** Null until it has a connection. */
    private WorkerConnection connection;

    private boolean written;
    private boolean ended;

    InFlightAttempt(
            AttemptRequest message, double deadline, AttemptListener listener, Counters counters) {
        this.message = message;
        this.deadline = deadline;
        this.listener = listener;
        this.counters = counters;
    }

    AttemptRequest message() {
        return message;
    }

    double deadline() {
        return deadline;
    }

    /** Whether its last byte has been handed to the network: from then on it may run. */
    public boolean isWritten() {
        return written;
    }

    /** Whether to send it after it has waited for a connection; ends it if it is too late. */
    boolean mayBeSent(double now) {
        if (!ended && now >= deadline) {
            abort(AttemptResult.TIMED_OUT);
        }
        // The listener may end it, too.
        return !ended && listener.isStillNeeded() && !ended;
    }

    /** It is sent on this connection, which is closed if it is given up. */
    void setConnection(WorkerConnection newConnection) {
        connection = newConnection;
    }

    void onWritten() {
        written = true;
        counters.count(Counters.Counter.ATTEMPTS_WRITTEN);
    }

    void onStarted() {
        if (!ended) {
            listener.onStarted();
        }
    }

    void onProgress(double share) {
        if (!ended) {
            listener.onProgress(share);
        }
    }

    /** Does nothing when it has ended already. */
    void end(AttemptResult result, byte[] body, double freeSlots) {
        if (!ended) {
            ended = true;
            listener.onEnded(result, body, freeSlots);
        }
    }

    void end(AttemptResult result) {
        end(result, AttemptListener.NO_RESULT, Double.NaN);
    }

    /**
     * Gives it up, unless it has ended. Its connection is closed before the listener is called, so
     * that no other attempt can overlap it.
     */
    public void abort(AttemptResult result) {
        if (!ended) {
            // First of all: closing the connection would otherwise count as a lost one.
            ended = true;
            if (connection != null) {
                connection.close();
            }
            listener.onEnded(
                    written ? result : AttemptResult.NOT_SENT,
                    AttemptListener.NO_RESULT,
                    Double.NaN);
        }
    }
}
