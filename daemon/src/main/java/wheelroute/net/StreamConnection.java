package wheelroute.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;

/** A connection of any kind of peer: it reads whatever comes, from its opening on. */
public abstract class StreamConnection extends AbstractConnection {
    /**
     * Reads in a row on one connection: a sender at full speed must leave the others their turns.
     */
    private static final int MOST_READS = 4;

    protected final EventLoop loop;

    protected StreamConnection(EndPoint endPoint, EventLoop loop) {
        // What is to run on a connection's behalf runs on the loop's thread, where its events come
        // from.
        super(endPoint, Runnable::run);
        this.loop = loop;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        if (getEndPoint().isOpen()) {
            fillInterested();
        }
    }

    /** False to let what comes wait. */
    protected boolean canRead() {
        return true;
    }

    /** The bytes are gone after this. */
    protected abstract void onBytes(ByteBuffer in) throws IOException;

    /** The other side has ended its sending. */
    protected abstract void onEndOfStream() throws IOException;

    /** The connection broke, or one of the two above threw. */
    protected abstract void onFailure(Throwable cause);

    @Override
    public void onFillable() {
        try {
            for (int reads = 0; getEndPoint().isOpen() && canRead(); reads++) {
                if (reads == MOST_READS) {
                    fillInterested();
                    return;
                }
                ByteBuffer in = loop.readBuffer();
                int got = getEndPoint().fill(in);
                if (got > 0) {
                    onBytes(in);
                } else if (got == 0) {
                    fillInterested();
                    return;
                } else {
                    onEndOfStream();
                    return;
                }
            }
        } catch (IOException | RuntimeException e) {
            onFailure(e);
        }
    }

    @Override
    public void onFillInterestedFailed(Throwable cause) {
        onFailure(cause);
    }
}
