package wheelroute.net.workers;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import wheelroute.net.End;
import wheelroute.net.Link;
import wheelroute.net.Loop;

/** One connection to a worker: one launch at a time, idle in between. */
final class WorkerConnection extends Link implements LaunchDecoder.Hearer {
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

    private final Station station;
    private final LaunchDecoder decoder = new LaunchDecoder(this);
    private Flight flight;
    private Loop.Timer tail;

    /** It has served a launch before, and nothing has come for the next one yet. */
    private boolean kept;

    private boolean unheard;
    private double answeredAt = Double.NEGATIVE_INFINITY;

    /** What is heard may be of the launch before. */
    private boolean doubtful;

    /** An answer's last byte is still to come, or it will not be used again. */
    private boolean busy;

    WorkerConnection(EndPoint endPoint, Loop loop, Station station) {
        super(endPoint, loop);
        this.station = station;
    }

    void send(Flight next) {
        flight = next;
        busy = true;
        unheard = kept;
        doubtful = !isRested();
        kept = true;
        next.boarded(this);
        double limit = next.outerLimit - loop.now();
        if (limit <= 0) {
            // The process may have stood still since this was decided.
            next.giveUp(End.TIMED_OUT);
            return;
        }
        decoder.expect(next.message.id());
        getEndPoint()
                .write(
                        Callback.from(next::written, cause -> broke(End.BROKE_UNSENT)),
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
    protected void received(ByteBuffer in) {
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
            broke(End.NONSENSE);
        }
    }

    @Override
    protected void atEnd() throws IOException {
        decoder.atEnd();
        broke(End.BROKE);
    }

    @Override
    protected void broke(Throwable cause) {
        broke(End.BROKE);
    }

    /** Before the last byte is written nothing can have run, however the connection ends. */
    private void broke(End end) {
        close();
        if (flight != null) {
            // Workers end connections when they like: as failures these would put all on probation.
            End told = unheard && end == End.BROKE ? End.STALE : end;
            flight.end(flight.isWritten() ? told : End.BROKE_UNSENT);
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
    public void ended(End end, byte[] result, double freeSlots) {
        tail = loop.later(TAIL, this::close);
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
