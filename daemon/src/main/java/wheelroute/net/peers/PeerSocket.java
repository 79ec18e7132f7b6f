package wheelroute.net.peers;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.config.PeeringConfig;
import wheelroute.net.loop.DatagramSocket;
import wheelroute.net.loop.EventLoop;
import wheelroute.peers.MalformedMessageException;
import wheelroute.peers.MemberAddress;
import wheelroute.peers.Message;
import wheelroute.peers.MessageCodec;

/**
 * Sends and receives messages over UDP. In messages, members are addressed by their numbers. Each
 * dispatcher maps the numbers to socket addresses by its own configuration, since the address that
 * reaches a member from one machine need not reach that member from another machine.
 *
 * <p>Used on the event loop's thread only. Datagrams that are malformed, belong to another cluster
 * or come from an unknown member are counted and dropped.
 */
final class PeerSocket {
    private static final Logger LOG = LoggerFactory.getLogger(PeerSocket.class);

    /** One byte more than the longest message, so that longer datagrams can be recognized. */
    private static final int RECEIVE_BUFFER_BYTES = MessageCodec.MAX_DATAGRAM_BYTES + 1;

    private final EventLoop loop;
    private final PeeringConfig peering;
    private final int cluster;
    private final boolean shared;
    private final Listener listener;
    private DatagramSocket socket;
    private boolean open;
    private long foreignCount;
    private long malformedCount;

    /** Receives the messages of a socket. */
    interface Listener {
        /** Called with each message of this cluster from a member whose number is configured. */
        void onMessage(Message message);
    }

    /**
     * Creates a socket that is not open yet.
     *
     * @param shared whether another process of this dispatcher may listen at the same address
     */
    PeerSocket(
            EventLoop loop, PeeringConfig peering, int cluster, boolean shared, Listener listener) {
        this.loop = loop;
        this.peering = peering;
        this.cluster = cluster;
        this.shared = shared;
        this.listener = listener;
    }

    /** Returns the address by which messages refer to the dispatcher of this number. */
    static MemberAddress addressOf(int number) {
        return new MemberAddress(0, number);
    }

    /**
     * Starts to listen at the configured address.
     *
     * @throws IOException if the address cannot be used
     */
    void open() throws IOException {
        socket =
                new DatagramSocket(
                        loop, peering.listen(), shared, RECEIVE_BUFFER_BYTES, this::onDatagram);
        open = true;
    }

    boolean isOpen() {
        return open;
    }

    /** Closes the socket; messages are neither sent nor received from now on. */
    void close() {
        open = false;
        socket.close();
    }

    /**
     * Returns the local address. The operating system has chosen its port if the configured port is
     * 0.
     */
    InetSocketAddress localAddress() {
        return socket.address();
    }

    /** Returns the number of datagrams from other clusters or from unknown members. */
    long foreignCount() {
        return foreignCount;
    }

    /** Returns the number of datagrams that could not be decoded. */
    long malformedCount() {
        return malformedCount;
    }

    /** Sends a message. Drops it if the socket is closed or the member is not configured. */
    void send(MemberAddress to, Message message) {
        InetSocketAddress address = socketAddress(to);
        if (address != null && open) {
            socket.send(address, MessageCodec.encode(message));
        }
    }

    private InetSocketAddress socketAddress(MemberAddress member) {
        boolean configured = member.host() == 0 && member.port() < peering.addresses().size();
        return configured ? peering.addresses().get(member.port()) : null;
    }

    private void onDatagram(InetSocketAddress from, ByteBuffer bytes) {
        if (!open) {
            return;
        }
        try {
            Message message = MessageCodec.decode(bytes);
            if (message.header().cluster() != cluster
                    || socketAddress(message.header().sender().address()) == null) {
                foreignCount++;
                return;
            }
            listener.onMessage(message);
        } catch (MalformedMessageException e) {
            malformedCount++;
            LOG.debug("dropped malformed gossip datagram from {}: {}", from, e.getMessage());
        }
    }
}
