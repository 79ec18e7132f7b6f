package wheelroute.net.loop;

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

/** A UDP socket on an event loop. Used on the event loop's thread only. */
public final class DatagramSocket implements EventLoop.ChannelHandler {
    /** Receives the datagrams of a socket. */
    public interface Listener {
        /** Processes a datagram. The buffer is reused after this method returns. */
        void onDatagram(InetSocketAddress from, ByteBuffer bytes);
    }

    /** The maximum number of consecutive reads, so that one sender cannot starve other sockets. */
    private static final int MAX_CONSECUTIVE_READS = 32;

    private static final Logger LOG = LoggerFactory.getLogger(DatagramSocket.class);

    private final EventLoop loop;
    private final Listener listener;
    private final ByteBuffer buffer;
    private final DatagramChannel channel;
    private Reader reader;

    /**
     * Opens a socket.
     *
     * @param maxBytes the maximum size of a datagram; longer ones are truncated
     * @throws IOException if the address cannot be used
     */
    public DatagramSocket(
            EventLoop loop, InetSocketAddress address, int maxBytes, Listener listener)
            throws IOException {
        this(loop, address, false, maxBytes, listener);
    }

    /**
     * Opens a socket at an address that other processes may share.
     *
     * @param shared whether other processes may open a socket at the same address; each process
     *     then receives a part of the datagrams
     * @param maxBytes the maximum size of a datagram; longer ones are truncated
     * @throws IOException if the address cannot be used
     */
    public DatagramSocket(
            EventLoop loop,
            InetSocketAddress address,
            boolean shared,
            int maxBytes,
            Listener listener)
            throws IOException {
        this.loop = loop;
        this.listener = listener;
        buffer = ByteBuffer.allocate(maxBytes);
        channel = loop.openDatagramChannel(address, this, shared);
    }

    /**
     * Returns the local address. The operating system has chosen its port if the configured port is
     * 0.
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.socket().getLocalSocketAddress();
    }

    /** Sends a datagram, or drops the datagram if it cannot be sent immediately. */
    public void send(InetSocketAddress to, ByteBuffer bytes) {
        try {
            channel.send(bytes, to);
        } catch (IOException e) {
            LOG.debug("failed to send datagram to {}", to, e);
        }
    }

    /** Closes the socket. Has no effect before the event loop has started to read from it. */
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
        LOG.warn("failed to open datagram socket for reading: {}", cause.toString());
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
                for (int reads = 0; reads < MAX_CONSECUTIVE_READS; reads++) {
                    buffer.clear();
                    if (!(channel.receive(buffer) instanceof InetSocketAddress from)) {
                        break;
                    }
                    listener.onDatagram(from, buffer.flip());
                }
            } catch (IOException e) {
                // The operating system may report an undeliverable datagram as a failed receive.
                LOG.debug("failed to receive datagram", e);
            }
            if (channel.isOpen()) {
                loop.post(this::fillInterested);
            }
        }
    }
}
