package wheelroute.net.workers;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.loop.StreamConnection;
import wheelroute.net.memory.ResponseMemory;

/**
 * A connection to a worker, which carries one attempt at a time and is kept open between attempts.
 *
 * <p>Used on the event loop's thread only. Any failure closes the connection and ends its attempt.
 */
final class WorkerConnection extends StreamConnection implements AttemptResponseDecoder.Listener {
    /** The maximum time from the end of an attempt to the last byte of its response. */
    private static final double RESPONSE_TAIL_TIMEOUT_SECONDS = 1;

    /**
     * Time without a response after which no further response to an earlier attempt is expected. A
     * faulty worker may respond to an attempt twice, the second time some milliseconds late, and a
     * response with a status other than 200 does not identify its attempt. The time is many times a
     * round trip, but short compared to the duration of a job.
     */
    private static final double QUIESCENCE_SECONDS = 0.1;

    /**
     * The most of an incomplete line that is read without a reservation of memory. Lines without a
     * long result are shorter, and need none.
     */
    private static final int MAX_UNRESERVED_BYTES = 1024;

    private final WorkerConnectionPool pool;
    private final AttemptResponseDecoder decoder = new AttemptResponseDecoder(this);
    private State state = State.IDLE;

    /** The attempt whose response is not complete; null if there is none. */
    private InFlightAttempt attempt;

    /** Closes the connection if the response is not complete in time after the attempt's end. */
    private EventLoop.Timer responseTailTimer;

    /** Whether the connection has carried an attempt. */
    private boolean wasUsed;

    /**
     * Whether the connection is reused and no byte has arrived since the attempt was sent, so that
     * the worker may have closed the idle connection.
     */
    private boolean mayBeStale;

    /** Unix time in seconds of the end of the last response. */
    private double lastResponseAt = Double.NEGATIVE_INFINITY;

    /** Whether the next response may be a second one to an earlier attempt. */
    private boolean isResponseAmbiguous;

    /** The memory for the long line that is being read; null if there is none. */
    private ResponseMemory.Reservation reservation;

    private enum State {
        /** Open, without an attempt. */
        IDLE,
        /** The response to an attempt has not arrived completely. */
        BUSY,
        /** Closed, or about to be. */
        CLOSED
    }

    WorkerConnection(EndPoint endPoint, EventLoop loop, WorkerConnectionPool pool) {
        super(endPoint, loop);
        this.pool = pool;
    }

    /** Sends an attempt. The connection must be idle. */
    void send(InFlightAttempt next) {
        attempt = next;
        state = State.BUSY;
        mayBeStale = wasUsed;
        isResponseAmbiguous = !isQuiescent();
        wasUsed = true;
        next.setConnection(this);
        double timeoutSeconds = next.deadline() - loop.now();
        if (timeoutSeconds <= 0) {
            // The process was paused after the policy decided on the attempt.
            next.abort(AttemptResult.TIMED_OUT);
            return;
        }
        decoder.expectResponse(next.request().id());
        getEndPoint()
                .write(
                        Callback.from(
                                next::onWritten,
                                cause -> onFailure(AttemptResult.BROKEN_BEFORE_SENT)),
                        next.request().encode(pool.host(), timeoutSeconds));
    }

    /** Whether no further response to an earlier attempt is expected. */
    boolean isQuiescent() {
        return loop.now() - lastResponseAt >= QUIESCENCE_SECONDS;
    }

    /**
     * Whether the connection is idle and open. The check includes a close by the worker that has
     * not been read yet, because an attempt that is written after the close may have to count as
     * having run.
     */
    boolean isUsable() {
        try {
            return state == State.IDLE
                    && getEndPoint().isOpen()
                    && getEndPoint().fill(loop.scratchBuffer()) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** While memory for a long line is awaited, its bytes stay unread. */
    @Override
    protected boolean canRead() {
        return reservation == null || reservation.isGranted();
    }

    @Override
    protected ByteBuffer readBuffer() {
        return reservation == null ? loop.smallReadBuffer() : loop.readBuffer();
    }

    @Override
    protected void onBytes(ByteBuffer in) {
        mayBeStale = false;
        if (attempt == null) {
            // The bytes belong to no attempt, and could be taken for the next response.
            close();
            return;
        }
        try {
            decoder.decode(in);
            if (state == State.BUSY && decoder.bufferedBytes() > MAX_UNRESERVED_BYTES) {
                reserveMemory();
            }
        } catch (IOException | RuntimeException e) {
            onFailure(AttemptResult.PROTOCOL_ERROR);
        }
    }

    private void reserveMemory() {
        if (reservation == null) {
            reservation = pool.responseMemory().reserveLine(() -> loop.post(this::resumeReading));
        }
    }

    private void releaseMemory() {
        if (reservation != null) {
            reservation.release();
            reservation = null;
        }
    }

    @Override
    protected void onEndOfStream() throws IOException {
        decoder.onEndOfStream();
        onFailure(AttemptResult.CONNECTION_LOST);
    }

    @Override
    protected void onFailure(Throwable cause) {
        onFailure(AttemptResult.CONNECTION_LOST);
    }

    /**
     * Closes the connection and ends its attempt. The given result is replaced if the attempt's
     * last byte has not been written, since the attempt cannot have run then, and if a reused
     * connection was lost before any response, since the worker may have closed it while it was
     * idle.
     */
    private void onFailure(AttemptResult result) {
        close();
        if (attempt != null) {
            // Workers may close idle connections, and must not be ejected for that.
            AttemptResult actual =
                    mayBeStale && result == AttemptResult.CONNECTION_LOST
                            ? AttemptResult.STALE_CONNECTION
                            : result;
            attempt.end(attempt.isWritten() ? actual : AttemptResult.BROKEN_BEFORE_SENT);
        }
    }

    @Override
    public void onStarted() {
        attempt.onStarted();
    }

    @Override
    public void onProgress(double fraction) {
        attempt.onProgress(fraction);
    }

    @Override
    public void onEnded(AttemptResult result, byte[] body, double freeSlots) {
        responseTailTimer = loop.schedule(RESPONSE_TAIL_TIMEOUT_SECONDS, this::close);
        if (isResponseAmbiguous && !decoder.identifiesAttempt()) {
            // The response may be a second one to the previous attempt, while the current attempt
            // runs. Closing the connection first cancels the current attempt on the worker, so that
            // it cannot overlap the next attempt.
            close();
        }
        releaseMemory();
        attempt.end(result, body, freeSlots);
    }

    @Override
    public void onComplete(boolean keepsOpen) {
        responseTailTimer.cancel();
        if (!keepsOpen || !attempt.isWritten()) {
            close();
        } else if (getEndPoint().isOpen()) {
            attempt = null;
            state = State.IDLE;
            lastResponseAt = loop.now();
            pool.onIdle(this);
        }
    }

    /**
     * Closes the connection only if it carries no attempt, since the deadline of an attempt limits
     * the time for its response.
     */
    @Override
    public boolean onIdleExpired(TimeoutException timeout) {
        if (state == State.IDLE) {
            close();
        }
        return false;
    }

    @Override
    public void close() {
        state = State.CLOSED;
        super.close();
        release();
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        release();
    }

    private void release() {
        releaseMemory();
        pool.onClosed(this);
    }
}
