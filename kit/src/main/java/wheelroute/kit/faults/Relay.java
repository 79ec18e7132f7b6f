package wheelroute.kit.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.HashSet;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.net.loop.EventLoop;

/**
 * Relays stream connections between two processes and applies a {@link LinkState}. The near end is
 * the process that connects, the far end is the target. Used on the event loop's thread.
 *
 * <p>The relay differs from a real network in two ways. Loopback cannot leave a handshake
 * unanswered, so a connection opens even while the link is partitioned, but carries no bytes. Bytes
 * that are held back when their sender closes the connection are lost, whereas a kernel would
 * retransmit them.
 */
public final class Relay implements EventLoop.ChannelHandler {
    /** Delay before listening is retried on a port that the system may not have released yet. */
    private static final double RELISTEN_DELAY_SECONDS = 0.05;

    private static final Logger LOG = LoggerFactory.getLogger(Relay.class);

    private final EventLoop loop;
    private final Supplier<InetSocketAddress> target;
    private final boolean isDispatcherNear;
    private final DoubleSupplier random;
    private final Set<RelayedConnection> connections = new HashSet<>();
    private final InetSocketAddress address;
    private IntConsumer nearCloseListener = port -> {};

    /** Listening socket; null while the link refuses connections. */
    private ServerSocketChannel server;

    private LinkState state = LinkState.OPEN;

    /**
     * Starts to listen.
     *
     * @param target address of the far end, looked up for each connection, because a process may
     *     move to another port
     * @param isDispatcherNear whether the dispatcher is the near end; otherwise it is the target
     * @param random draws numbers from 0 to 1, for losses and jitter
     */
    public Relay(
            EventLoop loop,
            Supplier<InetSocketAddress> target,
            boolean isDispatcherNear,
            DoubleSupplier random)
            throws IOException {
        this.loop = loop;
        this.target = target;
        this.isDispatcherNear = isDispatcherNear;
        this.random = random;
        server = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), this);
        address = (InetSocketAddress) server.getLocalAddress();
    }

    /** Returns the address to which the near end connects. */
    public InetSocketAddress address() {
        return address;
    }

    /**
     * Sets a listener that is notified as soon as the near end closes a connection, whereas the
     * link may delay the end of the stream for the far end.
     *
     * @param listener receives the local port of the relay's connection to the far end
     */
    public void onNearClosed(IntConsumer listener) {
        nearCloseListener = listener;
    }

    /** Applies a state of the link to open and new connections. */
    public void apply(LinkState newState) {
        state = newState;
        if (newState.refuses()) {
            close();
        } else {
            listen();
            new HashSet<>(connections).forEach(RelayedConnection::forward);
        }
    }

    /** Stops listening and resets all connections. */
    public void close() {
        unlisten();
        new HashSet<>(connections).forEach(RelayedConnection::reset);
    }

    private void listen() {
        try {
            if (server == null) {
                server = loop.listen(address, this);
            }
        } catch (IOException e) {
            loop.schedule(
                    RELISTEN_DELAY_SECONDS,
                    () -> {
                        if (!state.refuses()) {
                            listen();
                        }
                    });
        }
    }

    private void unlisten() {
        try {
            if (server != null) {
                loop.closeListener(server);
                server = null;
            }
        } catch (IOException e) {
            LOG.warn("relay at {} failed to stop listening: {}", address, e.toString());
        }
    }

    @Override
    public Connection onOpened(EndPoint endPoint) {
        RelayedConnection connection = new RelayedConnection(this, endPoint);
        connections.add(connection);
        return connection.near();
    }

    @Override
    public void onFailed(Throwable cause) {
        LOG.warn("relay at {} failed to accept a connection: {}", address, cause.toString());
    }

    void onConnectionEnded(RelayedConnection connection) {
        connections.remove(connection);
    }

    void notifyNearClosed(int portAtFarEnd) {
        nearCloseListener.accept(portAtFarEnd);
    }

    EventLoop loop() {
        return loop;
    }

    InetSocketAddress target() {
        return target.get();
    }

    LinkState state() {
        return state;
    }

    /**
     * Returns whether the link currently carries bytes in one direction.
     *
     * @param isFromNear whether the direction is that from the near end to the far end
     */
    boolean isOpen(boolean isFromNear) {
        return isFromNear == isDispatcherNear ? state.outbound() : state.inbound();
    }

    /** Draws by how many seconds bytes arrive later than on a link without faults. */
    double drawDelaySeconds() {
        return state.drawExtraDelaySeconds(random);
    }
}
