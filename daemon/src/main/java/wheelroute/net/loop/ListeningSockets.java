package wheelroute.net.loop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardProtocolFamily;
import java.net.StandardSocketOptions;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The listening sockets of one event loop, each with the handler of the connections that are
 * accepted on it. Used on the event loop's thread only.
 */
final class ListeningSockets {
    /** Delay after which the selector has made another pass, as it does before any timer runs. */
    private static final double SELECTOR_PASS_DELAY_SECONDS = 0.001;

    private static final Logger LOG = LoggerFactory.getLogger(ListeningSockets.class);

    private final EventLoop loop;
    private final LoopSelectorManager manager;
    private final Map<SocketAddress, EventLoop.ChannelHandler> handlers = new HashMap<>();

    ListeningSockets(EventLoop loop, LoopSelectorManager manager) {
        this.loop = loop;
        this.manager = manager;
    }

    /**
     * Opens a listening TCP socket.
     *
     * @param shared whether other processes may listen at the same address, provided that they
     *     share it as well
     */
    ServerSocketChannel open(
            InetSocketAddress address, EventLoop.ChannelHandler handler, boolean shared)
            throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        try {
            // A restarted process listens at the same address shortly after its predecessor.
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            if (shared) {
                server.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            register(server.bind(address, AcceptLimiter.BACKLOG), handler);
        } catch (IOException | RuntimeException e) {
            server.close();
            throw e;
        }
        return server;
    }

    /** Opens a listening Unix socket, whose file must not exist yet. */
    ServerSocketChannel open(UnixDomainSocketAddress address, EventLoop.ChannelHandler handler)
            throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        try {
            register(server.bind(address), handler);
        } catch (IOException | RuntimeException e) {
            server.close();
            throw e;
        }
        return server;
    }

    private void register(ServerSocketChannel server, EventLoop.ChannelHandler handler)
            throws IOException {
        server.configureBlocking(false);
        handlers.put(server.getLocalAddress(), handler);
        manager.acceptor(server);
    }

    /** Closes a listening socket immediately; pending connections are reset. */
    void close(ServerSocketChannel server) throws IOException {
        if (server.isOpen()) {
            handlers.remove(server.getLocalAddress());
            server.close();
        }
    }

    /**
     * Accepts the pending connections of a listening socket, then closes the socket. The selector
     * keeps a closed socket until the next pass, and connections that arrive until then would be
     * lost. The socket is therefore deregistered first.
     */
    void drainAndClose(ServerSocketChannel server) {
        server.keyFor(loop.selector()).cancel();
        loop.schedule(SELECTOR_PASS_DELAY_SECONDS, () -> acceptPending(server));
    }

    private void acceptPending(ServerSocketChannel server) {
        if (server.isRegistered()) {
            // The selector has not yet made the pass that deregisters the socket.
            loop.schedule(SELECTOR_PASS_DELAY_SECONDS, () -> acceptPending(server));
            return;
        }
        double delaySeconds = SELECTOR_PASS_DELAY_SECONDS;
        try {
            for (int i = 0; i < AcceptLimiter.MAX_ACCEPTS_PER_PASS; i++) {
                SocketChannel next = loop.accept(server);
                if (next == null) {
                    close(server);
                    return;
                }
                register(next);
            }
        } catch (IOException e) {
            // Pending connections are already established, so their clients expect an answer.
            LOG.warn("failed to accept connection, will retry: {}", e.toString());
            delaySeconds = LoopSelectorManager.ACCEPT_RETRY_DELAY_SECONDS;
        }
        if (server.isOpen()) {
            loop.schedule(delaySeconds, () -> acceptPending(server));
        }
    }

    /** Registers an accepted connection with the selector; closes it if the registration fails. */
    private void register(SocketChannel accepted) {
        try {
            manager.accepted(accepted);
        } catch (IOException | RuntimeException e) {
            LOG.warn("failed to register accepted connection: {}", e.toString());
            EventLoop.close(accepted);
        }
    }

    /**
     * Returns the handler for a connection accepted at this local address, or null if its listening
     * socket is closed.
     */
    EventLoop.ChannelHandler handlerFor(SocketAddress local) {
        EventLoop.ChannelHandler handler = handlers.get(local);
        if (handler != null || !(local instanceof InetSocketAddress address)) {
            return handler;
        }
        // The connection may have been accepted by a socket that listens at the wildcard address.
        return handlers.entrySet().stream()
                .filter(entry -> isWildcardFor(entry.getKey(), address.getPort()))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElse(null);
    }

    private static boolean isWildcardFor(SocketAddress listening, int port) {
        return listening instanceof InetSocketAddress address
                && address.getAddress().isAnyLocalAddress()
                && address.getPort() == port;
    }
}
