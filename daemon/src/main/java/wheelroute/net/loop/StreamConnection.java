package wheelroute.net.loop;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;

/**
 * A connection that reads bytes as they arrive, as soon as it is open. Used on the event loop's
 * thread only.
 */
public abstract class StreamConnection extends AbstractConnection {
    /** The maximum number of consecutive reads, so that one sender cannot starve others. */
    private static final int MAX_CONSECUTIVE_READS = 4;

    protected final EventLoop loop;

    /** Creates a connection that reads from the end point once it is opened. */
    protected StreamConnection(EndPoint endPoint, EventLoop loop) {
        // All events already occur on the loop's thread, so they are handled without an executor.
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

    /**
     * Whether to continue reading; if not, incoming bytes stay in the operating system's buffer.
     */
    protected boolean canRead() {
        return true;
    }

    /**
     * Called when reading stops because {@link #canRead} does not permit it. {@link #resumeReading}
     * continues it.
     */
    protected void onReadingPaused() {}

    /** Returns the empty buffer for the next read, whose capacity limits what is read at once. */
    protected ByteBuffer readBuffer() {
        return loop.readBuffer();
    }

    /** Continues reading, if {@link #canRead} permits it again. */
    protected final void resumeReading() {
        if (getEndPoint().isOpen() && !isFillInterested()) {
            onFillable();
        }
    }

    /**
     * Processes bytes that have arrived. The buffer is reused after this method returns.
     *
     * @throws IOException if the bytes are invalid; the exception is then passed to {@link
     *     #onFailure}
     */
    protected abstract void onBytes(ByteBuffer in) throws IOException;

    /**
     * Reacts to the peer's end of stream.
     *
     * @throws IOException if the stream must not end here; the exception is then passed to {@link
     *     #onFailure}
     */
    protected abstract void onEndOfStream() throws IOException;

    /**
     * Reacts to a broken connection, or to an exception of {@link #onBytes} or {@link
     * #onEndOfStream}.
     */
    protected abstract void onFailure(Throwable cause);

    @Override
    public void onFillable() {
        try {
            for (int reads = 0; getEndPoint().isOpen() && canRead(); reads++) {
                if (reads == MAX_CONSECUTIVE_READS) {
                    fillInterested();
                    return;
                }
                ByteBuffer in = readBuffer();
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
            if (getEndPoint().isOpen()) {
                onReadingPaused();
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
