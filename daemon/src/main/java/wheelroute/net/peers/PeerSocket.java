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
 * Sends and receives messages by UDP. A member is addressed by its number; the socket address of
 * each number is taken from this dispatcher's own configuration, as the one that another dispatcher
 * uses need not be valid here. Used on the event loop's thread only.
 */
final class PeerSocket {
    private static final Logger LOG = LoggerFactory.getLogger(PeerSocket.class);

    /** One byte more than any message has, so that datagrams that are too long are seen as such. */
    private static final int RECEIVE_BYTES = MessageCodec.MAX_DATAGRAM_BYTES + 1;

    private final EventLoop loop;
    private final PeeringConfig peering;
    private final int cluster;
    private final boolean shared;
    private final Listener listener;
    private DatagramSocket socket;
    private boolean open;
    private long foreignCount;
    private long malformedCount;

    /** Receives the messages. */
    interface Listener {
        /** A message of this cluster has arrived, from a member whose number is configured. */
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

    /** Address of the dispatcher of this number, as it is written in messages. */
    static MemberAddress addressOf(int number) {
        return new MemberAddress(0, number);
    }

    /** Listens at the configured address. */
    void open() throws IOException {
        socket =
                new DatagramSocket(loop, peering.listen(), shared, RECEIVE_BYTES, this::onDatagram);
        open = true;
    }

    boolean isOpen() {
        return open;
    }

    /** Stops to send and to receive. */
    void close() {
        open = false;
        socket.close();
    }

    /** The address that it listens at. */
    InetSocketAddress localAddress() {
        return socket.address();
    }

    /** Number of datagrams of other clusters, or of members that are not configured. */
    long foreignCount() {
        return foreignCount;
    }

    /** Number of datagrams that were no valid messages. */
    long malformedCount() {
        return malformedCount;
    }

    /** Sends a message; dropped if the socket is closed or the member not configured. */
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
