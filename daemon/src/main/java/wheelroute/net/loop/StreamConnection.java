package wheelroute.net.loop;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;

/**
 * A connection that reads whatever arrives, from its opening on. Only for the event loop's thread.
 */
public abstract class StreamConnection extends AbstractConnection {
    /** The maximum number of consecutive reads, so that one sender cannot starve others. */
    private static final int MAX_CONSECUTIVE_READS = 4;

    protected final EventLoop loop;

    /** Creates a connection that reads from the end point once it is opened. */
    protected StreamConnection(EndPoint endPoint, EventLoop loop) {
        // All events are on the loop's thread already, so they need no executor.
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

    /** Whether to continue reading; if not, what arrives stays in the system's buffer. */
    protected boolean canRead() {
        return true;
    }

    /**
     * Processes bytes that have arrived. The buffer is reused after this returns.
     *
     * @throws IOException if they are not acceptable; {@link #onFailure} is then called with it
     */
    protected abstract void onBytes(ByteBuffer in) throws IOException;

    /**
     * Reacts to the peer's end of stream.
     *
     * @throws IOException if it must not end here; {@link #onFailure} is then called with it
     */
    protected abstract void onEndOfStream() throws IOException;

    /** Reacts to a broken connection, or to an exception of one of the two methods above. */
    protected abstract void onFailure(Throwable cause);

    @Override
    public void onFillable() {
        try {
            for (int reads = 0; getEndPoint().isOpen() && canRead(); reads++) {
                if (reads == MAX_CONSECUTIVE_READS) {
                    fillInterested();
                    return;
                }
                ByteBuffer in = loop.readBuffer();
                int count = getEndPoint().fill(in);
                if (count > 0) {
                    onBytes(in);
                } else if (count == 0) {
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
