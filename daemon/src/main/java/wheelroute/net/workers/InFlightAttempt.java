package wheelroute.net.workers;

import wheelroute.net.metrics.Counters;

/** An attempt from its start to its end. Used on the event loop's thread only. */
public final class InFlightAttempt {
    private AttemptRequest request;

    /** Time at which the attempt must end, in seconds on the event loop's clock. */
    private final double deadline;

    /** Time before which the last byte must be written, on the same clock. */
    private final double sendBefore;

    private final AttemptListener listener;
    private final Counters counters;

    /** Null until the attempt has a connection. */
    private WorkerConnection connection;

    private boolean written;
    private boolean ended;

    InFlightAttempt(
            AttemptRequest request,
            double deadline,
            double sendBefore,
            AttemptListener listener,
            Counters counters) {
        this.request = request;
        this.deadline = deadline;
        this.sendBefore = sendBefore;
        this.listener = listener;
        this.counters = counters;
    }

    AttemptRequest request() {
        return request;
    }

    double deadline() {
        return deadline;
    }

    /** Whether the attempt's last byte has been written, so that the worker may run it. */
    public boolean isWritten() {
        return written;
    }

    /**
     * Whether the attempt is to be sent, now that its connection has been opened. Ends the attempt
     * if it is too late.
     */
    boolean mayBeSent(double now) {
        if (!ended && now >= sendBefore) {
            abort(AttemptResult.NOT_SENT);
        }
        if (!ended && now >= deadline) {
            abort(AttemptResult.TIMED_OUT);
        }
        // The flag is checked again, because the listener may end the attempt.
        return !ended && listener.isStillNeeded() && !ended;
    }

    /** Sets the connection that {@link #abort} closes. */
    void setConnection(WorkerConnection newConnection) {
        connection = newConnection;
    }

    /** Records that the attempt's last byte has been written. */
    void onWritten() {
        written = true;
        request = request.withoutBody();
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

    /** Ends the attempt, unless it has ended already. */
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
     * connection is closed before the listener is called, so that no later attempt can overlap this
     * one.
     */
    public void abort(AttemptResult result) {
        if (!ended) {
            // The flag is set first, since closing the connection would otherwise end the attempt
            // with the result CONNECTION_LOST.
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
