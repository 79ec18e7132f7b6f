package wheelroute.kit.process;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.net.clients.BadRequestException;
import wheelroute.net.clients.ClientRequest;
import wheelroute.net.clients.ClientRequestDecoder;
import wheelroute.net.clients.MemoryQuota;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.loop.StreamConnection;

/**
 * A connection that a stub has accepted: it reads messages as the daemon itself would, and
 * strictly.
 */
public abstract class ServerConnection extends StreamConnection {
    /** Bodies held at once by all of one kind of stub. */
    private static final long ROOM = 64L << 20;

    protected final WriteQueue out;
    private final ClientRequestDecoder decoder = new ClientRequestDecoder(new MemoryQuota(ROOM));
    private boolean ended;

    protected ServerConnection(EndPoint endPoint, EventLoop loop) {
        super(endPoint, loop);
        out = new WriteQueue(endPoint, () -> onFailure(null));
    }

    protected abstract void onRequest(ClientRequest message);

    /** The connection is over, whoever ended it; called once. */
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

    /** Ends it now: what is not out yet is lost. */
    protected final void closeNow() {
        if (!ended) {
            ended = true;
            close();
            onClosed();
        }
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        if (!ended) {
            ended = true;
            loop.post(this::onClosed);
        }
    }
}
