package wheelroute.net.workers;

import wheelroute.net.metrics.Counters;

/** An attempt that has not ended. Used on the event loop's thread only. */
public final class InFlightAttempt {
    private final AttemptRequest message;

    /** On the event loop's clock, in seconds. */
    private final double deadline;

    private final AttemptListener listener;
    private final Counters counters;

    /** Null until the attempt has a connection. */
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

    /** Whether its last byte has been written, so that it may run on the worker. */
    public boolean isWritten() {
        return written;
    }

    /**
     * Whether the attempt is to be sent, now that its connection has been opened. Ends it if its
     * deadline has passed.
     */
    boolean mayBeSent(double now) {
        if (!ended && now >= deadline) {
            abort(AttemptResult.TIMED_OUT);
        }
        // Checked twice, as the listener may end the attempt.
        return !ended && listener.isStillNeeded() && !ended;
    }

    /** Sets the connection, which {@link #abort} closes. */
    void setConnection(WorkerConnection newConnection) {
        connection = newConnection;
    }

    /** Records that the last byte has been written. */
    void onWritten() {
        written = true;
        counters.count(Counters.Counter.ATTEMPTS_WRITTEN);
    }

    void onStarted() {
        if (!ended) {
            listener.onStarted();
        }
    }

    void onProgress(double fraction) {
        if (!ended) {
            listener.onProgress(fraction);
        }
    }

    /** Ends the attempt. Has no effect if it has ended already. */
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
     * Ends the attempt, unless it has ended already, without waiting for its response. Its
     * connection is closed before the listener is called, so that no later attempt can overlap it.
     */
    public void abort(AttemptResult result) {
        if (!ended) {
            // Set first, since otherwise the close would end the attempt as a lost connection.
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
