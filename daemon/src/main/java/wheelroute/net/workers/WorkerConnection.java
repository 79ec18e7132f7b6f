package wheelroute.net.workers;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.loop.StreamConnection;

/**
 * One connection to a worker: one attempt at a time, idle in between. Only for the event loop's
 * thread.
 */
final class WorkerConnection extends StreamConnection implements AttemptResponseDecoder.Listener {
    /** Seconds from an attempt's end to its response's last byte; then the connection is closed. */
    private static final double TAIL_TIMEOUT = 1;

    /**
     * A faulty worker may respond to an attempt twice, the second time some milliseconds late, and
     * a response that is no 200 does not say what it responds to. A connection that has been silent
     * for this many seconds is taken to have nothing more on the way: many round trips, and little
     * beside the time of a job.
     */
    private static final double QUIESCENCE_TIME = 0.1;

    private final WorkerConnectionPool pool;
    private final AttemptResponseDecoder decoder = new AttemptResponseDecoder(this);

    /** Null while idle. */
    private InFlightAttempt attempt;

    /** Set when the attempt ends before its response. */
    private EventLoop.Timer tailTimer;

    /** It has served an attempt before. */
    private boolean reused;

    /** It is reused, and nothing has come since: the worker may have closed it meanwhile. */
    private boolean maybeStale;

    /** Unix time in seconds of the last response's end. */
    private double answeredAt = Double.NEGATIVE_INFINITY;

    /** What comes may be a second response to the attempt before. */
    private boolean ambiguous;

    /** A response is outstanding, or the connection will not be used again. */
    private boolean busy;

    WorkerConnection(EndPoint endPoint, EventLoop loop, WorkerConnectionPool pool) {
        super(endPoint, loop);
        this.pool = pool;
    }

    /** Sends the next attempt; the connection must be new or idle. */
    void send(InFlightAttempt next) {
        attempt = next;
        busy = true;
        maybeStale = reused;
        ambiguous = !isQuiescent();
        reused = true;
        next.setConnection(this);
        double timeout = next.deadline() - loop.now();
        if (timeout <= 0) {
            // The process may have stood still since the policy decided.
            next.giveUp(AttemptResult.TIMED_OUT);
            return;
        }
        decoder.expect(next.message().id());
        getEndPoint()
                .write(
                        Callback.from(
                                next::onWritten,
                                cause -> onFailure(AttemptResult.BROKEN_BEFORE_SENT)),
                        next.message().encode(pool.host(), timeout));
    }

    /** Whether nothing of an earlier attempt can be on its way here any more. */
    boolean isQuiescent() {
        return loop.now() - answeredAt >= QUIESCENCE_TIME;
    }

    /**
     * Whether it is idle and open. Checks for a close that has not been read yet: an attempt
     * written after it might count as having run.
     */
    boolean isUsable() {
        try {
            return !busy && getEndPoint().isOpen() && getEndPoint().fill(loop.peekBuffer()) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    protected void onBytes(ByteBuffer in) {
        maybeStale = false;
        if (attempt == null) {
            // A second response, or none at all: it would be taken for the next one.
            close();
            return;
        }
        try {
            decoder.decode(in);
        } catch (IOException | RuntimeException e) {
            onFailure(AttemptResult.PROTOCOL_ERROR);
        }
    }

    @Override
    protected void onEndOfStream() throws IOException {
        decoder.atEnd();
        onFailure(AttemptResult.CONNECTION_LOST);
    }

    @Override
    protected void onFailure(Throwable cause) {
        onFailure(AttemptResult.CONNECTION_LOST);
    }

    /** Before its last byte is written an attempt cannot have run, however the connection ends. */
    private void onFailure(AttemptResult result) {
        close();
        if (attempt != null) {
            // Workers may close idle connections: as failures these would eject all of them.
            AttemptResult actual =
                    maybeStale && result == AttemptResult.CONNECTION_LOST
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
    public void onProgress(double share) {
        attempt.onProgress(share);
    }

    @Override
    public void onEnded(AttemptResult result, byte[] body, double freeSlots) {
        tailTimer = loop.schedule(TAIL_TIMEOUT, this::close);
        if (ambiguous && !decoder.identifiesAttempt()) {
            // It may be a response to the attempt before, while this one runs: closed first, it
            // cannot overlap the next attempt.
            close();
        }
        attempt.end(result, body, freeSlots);
    }

    @Override
    public void onComplete(boolean keepsOpen) {
        tailTimer.cancel();
        if (!keepsOpen || !attempt.isWritten()) {
            close();
        } else if (getEndPoint().isOpen()) {
            attempt = null;
            busy = false;
            answeredAt = loop.now();
            pool.onIdle(this);
        }
    }

    /** Only idle connections expire: the deadline limits how long a response may take. */
    @Override
    public boolean onIdleExpired(TimeoutException timeout) {
        if (!busy) {
            close();
        }
        return false;
    }

    @Override
    public void close() {
        busy = true;
        super.close();
        pool.onClosed(this);
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        pool.onClosed(this);
    }
}
