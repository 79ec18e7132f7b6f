package wheelroute.kit.process;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.net.clients.BadRequestException;
import wheelroute.net.clients.ClientRequest;
import wheelroute.net.clients.ClientRequestDecoder;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.loop.StreamConnection;
import wheelroute.net.memory.FairShareQuota;

/**
 * A connection that a stub has accepted. Decodes requests as strictly as the daemon does and
 * answers invalid ones with 400. Used on the event loop's thread.
 */
public abstract class ServerConnection extends StreamConnection {
    private static final long MAX_REQUEST_BYTES = 64L << 20;

    protected final WriteQueue out;
    private final ClientRequestDecoder decoder =
            new ClientRequestDecoder(new FairShareQuota(MAX_REQUEST_BYTES, 1));
    private boolean isEnded;

    protected ServerConnection(EndPoint endPoint, EventLoop loop) {
        super(endPoint, loop);
        out = new WriteQueue(endPoint, () -> onFailure(null));
    }

    /** Called when a request has arrived completely. */
    protected abstract void onRequest(ClientRequest message);

    /** Called once when the connection is closed, by either side. */
    protected abstract void onClosed();

    @Override
    protected void onBytes(ByteBuffer in) {
        try {
            while (in.hasRemaining()) {
                ClientRequest message = decoder.decode(in);
                if (message != null) {
                    onRequest(message);
                }
            }
        } catch (BadRequestException e) {
            out.send("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            out.close();
        }
    }

    @Override
    protected void onEndOfStream() throws IOException {
        closeNow();
    }

    @Override
    protected void onFailure(Throwable cause) {
        closeNow();
    }

    /** Closes the connection at once and drops queued writes. */
    protected final void closeNow() {
        if (!isEnded) {
            isEnded = true;
            close();
            onClosed();
        }
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        if (!isEnded) {
            isEnded = true;
            loop.post(this::onClosed);
        }
    }
}
