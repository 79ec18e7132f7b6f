package wheelroute.net.loop;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;

/**
 * A connection that reads whatever arrives, from its opening on. All methods run on the event
 * loop's thread.
 */
public abstract class StreamConnection extends AbstractConnection {
    /** Reads in a row: a sender at full speed must not starve the other connections. */
    private static final int MAX_READS = 4;

    protected final EventLoop loop;

    /** Reads from the end point once it is opened. */
    protected StreamConnection(EndPoint endPoint, EventLoop loop) {
        // Its events come on the loop's thread; so there is no need for an executor.
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

    /** Whether to read on; false leaves what arrives with the system. */
    protected boolean canRead() {
        return true;
    }

    /** Bytes have arrived. The buffer is reused after this returns. */
    protected abstract void onBytes(ByteBuffer in) throws IOException;

    /** The peer has ended its sending. */
    protected abstract void onEndOfStream() throws IOException;

    /** The connection broke, or one of the two methods above threw. */
    protected abstract void onFailure(Throwable cause);

    @Override
    public void onFillable() {
        try {
            for (int reads = 0; getEndPoint().isOpen() && canRead(); reads++) {
                if (reads == MAX_READS) {
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
