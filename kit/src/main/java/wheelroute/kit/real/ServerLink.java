package wheelroute.kit.real;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.net.Link;
import wheelroute.net.Loop;
import wheelroute.net.clients.BadMessage;
import wheelroute.net.clients.ClientDecoder;
import wheelroute.net.clients.ClientMessage;
import wheelroute.net.clients.Room;

/**
 * A connection that a stand-in has accepted: it reads messages as the daemon itself would, and
 * strictly.
 */
public abstract class ServerLink extends Link {
    /** Bodies held at once by all of one kind of stand-in. */
    private static final long ROOM = 64L << 20;

    protected final Outbox out;
    private final ClientDecoder decoder = new ClientDecoder(new Room(ROOM));
    private boolean ended;

    protected ServerLink(EndPoint endPoint, Loop loop) {
        super(endPoint, loop);
        out = new Outbox(endPoint, () -> broke(null));
    }

    protected abstract void message(ClientMessage message);

    /** The connection is over, whoever ended it; called once. */
    protected abstract void over();

    @Override
    protected void received(ByteBuffer in) {
        try {
            while (in.hasRemaining()) {
                ClientMessage message = decoder.decode(in);
                if (message != null) {
                    message(message);
                }
            }
        } catch (BadMessage e) {
            out.send("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            out.close();
        }
    }

    @Override
    protected void atEnd() throws IOException {
        end();
    }

    @Override
    protected void broke(Throwable cause) {
        end();
    }

    /** Ends it now: what is not out yet is lost. */
    protected final void end() {
        if (!ended) {
            ended = true;
            close();
            over();
        }
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        if (!ended) {
            ended = true;
            loop.post(this::over);
        }
    }
}
