package wheelroute.net.workers;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import wheelroute.net.AttemptResult;
import wheelroute.net.EventLoop;
import wheelroute.net.StreamConnection;

/** One connection to a worker: one launch at a time, idle in between. */
final class WorkerConnection extends StreamConnection implements AttemptResponseDecoder.Listener {
    /**
     * For the last chunk after a last line: past it the connection is no use, and there may be many
     * such.
     */
    private static final double TAIL = 1;

    /**
     * A worker at fault may answer a launch twice, the second time some milliseconds late, and an
     * answer that is no 200 does not say whose it is. A connection that was silent for so long
     * after its last answer is taken to have no more of it on the way: many times a way there and
     * back, and little beside a job.
     */
    private static final double REST = 0.1;

    private final WorkerConnectionPool station;
    private final AttemptResponseDecoder decoder = new AttemptResponseDecoder(this);
    private InFlightAttempt flight;
    private EventLoop.Timer tail;

    /** It has served a launch before, and nothing has come for the next one yet. */
    private boolean kept;

    private boolean unheard;
    private double answeredAt = Double.NEGATIVE_INFINITY;

    /** What is heard may be of the launch before. */
    private boolean doubtful;

    /** An answer's last byte is still to come, or it will not be used again. */
    private boolean busy;

    WorkerConnection(EndPoint endPoint, EventLoop loop, WorkerConnectionPool station) {
        super(endPoint, loop);
        this.station = station;
    }

    void send(InFlightAttempt next) {
        flight = next;
        busy = true;
        unheard = kept;
        doubtful = !isRested();
        kept = true;
        next.boarded(this);
        double limit = next.outerLimit - loop.now();
        if (limit <= 0) {
            // The process may have stood still since this was decided.
            next.giveUp(AttemptResult.TIMED_OUT);
            return;
        }
        decoder.expect(next.message.id());
        getEndPoint()
                .write(
                        Callback.from(
                                next::written,
                                cause -> onFailure(AttemptResult.BROKEN_BEFORE_SENT)),
                        next.message.encode(station.host(), limit));
    }

    /** Nothing of an earlier launch is on its way here any more. */
    boolean isRested() {
        return loop.now() - answeredAt >= REST;
    }

    /**
     * Looks for an end that has come but was not told yet: a launch written after it may count as
     * run.
     */
    boolean isUsable() {
        try {
            return !busy && getEndPoint().isOpen() && getEndPoint().fill(loop.lookBuffer()) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    protected void onBytes(ByteBuffer in) {
        unheard = false;
        if (flight == null) {
            // It answers twice, or says something of its own, which would be taken for the next
            // answer.
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

    /** Before the last byte is written nothing can have run, however the connection ends. */
    private void onFailure(AttemptResult end) {
        close();
        if (flight != null) {
            // Workers end connections when they like: as failures these would put all on probation.
            AttemptResult told =
                    unheard && end == AttemptResult.CONNECTION_LOST
                            ? AttemptResult.STALE_CONNECTION
                            : end;
            flight.end(flight.isWritten() ? told : AttemptResult.BROKEN_BEFORE_SENT);
        }
    }

    @Override
    public void started() {
        flight.started();
    }

    @Override
    public void progressed(double share) {
        flight.progressed(share);
    }

    @Override
    public void ended(AttemptResult end, byte[] result, double freeSlots) {
        tail = loop.schedule(TAIL, this::close);
        if (doubtful && !decoder.namesItsLaunch()) {
            // It may be told of the one before, and this one run: ended first, it is no copy beside
            // the next.
            close();
        }
        flight.end(end, result, freeSlots);
    }

    @Override
    public void complete(boolean keepsOpen) {
        tail.cancel();
        if (!keepsOpen || !flight.isWritten()) {
            close();
        } else if (getEndPoint().isOpen()) {
            flight = null;
            busy = false;
            answeredAt = loop.now();
            station.idle(this);
        }
    }

    /** Only the idle expire: how long an answer may take is the outer limit's affair. */
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
        station.closed(this);
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        station.closed(this);
    }
}
