package wheelroute.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.DatagramChannelEndPoint;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A socket for datagrams on a loop: each that comes is handed on whole, each that is sent may be
 * lost.
 */
public final class DatagramSocket implements EventLoop.ChannelHandler {
    /** Hears of each that comes; the bytes are gone after this. */
    public interface Listener {
        void onDatagram(InetSocketAddress from, ByteBuffer bytes);
    }

    /** Reads in a row: a sender at full speed must leave the others their turns. */
    private static final int MOST_READS = 32;

    private static final Logger LOG = LoggerFactory.getLogger(DatagramSocket.class);

    private final EventLoop loop;
    private final Listener hearer;
    private final ByteBuffer buffer;
    private final DatagramChannel channel;
    private Reader reader;

    /** Longer ones than the size are cut off by the system, and so no message. */
    public DatagramSocket(EventLoop loop, InetSocketAddress address, int size, Listener hearer)
            throws IOException {
        this(loop, address, false, size, hearer);
    }

    /** The same; shared, another process may hear some of what comes there. */
    public DatagramSocket(
            EventLoop loop, InetSocketAddress address, boolean shared, int size, Listener hearer)
            throws IOException {
        this.loop = loop;
        this.hearer = hearer;
        buffer = ByteBuffer.allocate(size);
        channel = loop.datagrams(address, this, shared);
    }

    /** With the port that it got: 0 leaves the choice to the system. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.socket().getLocalSocketAddress();
    }

    /** What cannot go now is lost, as on any network. */
    public void send(InetSocketAddress to, ByteBuffer bytes) {
        try {
            channel.send(bytes, to);
        } catch (IOException e) {
            LOG.debug("a datagram did not go", e);
        }
    }

    public void close() {
        if (reader != null) {
            reader.close();
        }
    }

    @Override
    public Connection onOpened(EndPoint endPoint) {
        reader = new Reader((DatagramChannelEndPoint) endPoint);
        return reader;
    }

    @Override
    public void onFailed(Throwable cause) {
        LOG.warn("datagrams cannot be read: {}", cause.toString());
    }

    private final class Reader extends AbstractConnection {
        private final DatagramChannelEndPoint endPoint;

        Reader(DatagramChannelEndPoint endPoint) {
            super(endPoint, Runnable::run);
            this.endPoint = endPoint;
        }

        @Override
        public void onOpen() {
            super.onOpen();
            endPoint.setIdleTimeout(0);
            fillInterested();
        }

        @Override
        public void onFillable() {
            try {
                for (int reads = 0; reads < MOST_READS; reads++) {
                    buffer.clear();
                    if (!(channel.receive(buffer) instanceof InetSocketAddress from)) {
                        break;
                    }
                    hearer.onDatagram(from, buffer.flip());
                }
            } catch (IOException e) {
                // The system tells here that an earlier one could not be delivered: it was lost.
                LOG.debug("a datagram did not come", e);
            }
            if (channel.isOpen()) {
                loop.post(this::fillInterested);
            }
        }
    }
}
