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
 * accepted on it. Only for the event loop's thread.
 */
final class ListeningSockets {
    /** Seconds to wait for the selector's next pass: any delay above 0 leads through one. */
    private static final double ONE_PASS = 0.001;

    private static final Logger LOG = LoggerFactory.getLogger(ListeningSockets.class);

    private final EventLoop loop;
    private final LoopSelectorManager manager;
    private final Map<SocketAddress, EventLoop.ChannelHandler> handlers = new HashMap<>();

    ListeningSockets(EventLoop loop, LoopSelectorManager manager) {
        this.loop = loop;
        this.manager = manager;
    }

    /**
     * Opens a TCP socket.
     *
     * @param shared whether another process may listen at the address too, if it shares it as well
     */
    ServerSocketChannel open(
            InetSocketAddress address, EventLoop.ChannelHandler handler, boolean shared)
            throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        try {
            // A restart follows within moments of the last end, under the same address.
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

    /** Opens a Unix socket, whose file must not exist yet. */
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

    /** Closes the socket at once; connections that wait to be accepted are reset. */
    void close(ServerSocketChannel server) throws IOException {
        if (server.isOpen()) {
            handlers.remove(server.getLocalAddress());
            server.close();
        }
    }

    /**
     * Accepts what waits, then closes the socket. The selector holds on to a socket until its next
     * pass, in which more could come; so the socket is deregistered first.
     */
    void drainAndClose(ServerSocketChannel server) {
        server.keyFor(loop.selector()).cancel();
        loop.schedule(ONE_PASS, () -> acceptWaiting(server));
    }

    private void acceptWaiting(ServerSocketChannel server) {
        if (server.isRegistered()) {
            // The pass has not been yet: a socket closed now would be closed only after it.
            loop.schedule(ONE_PASS, () -> acceptWaiting(server));
            return;
        }
        double delay = ONE_PASS;
        try {
            for (int i = 0; i < AcceptLimiter.MAX_ACCEPTS; i++) {
                SocketChannel next = loop.accept(server);
                if (next == null) {
                    close(server);
                    return;
                }
                register(next);
            }
        } catch (IOException e) {
            // Who waits there has been let in by the system, and is owed an answer.
            LOG.warn("failed to accept connection, will retry: {}", e.toString());
            delay = LoopSelectorManager.ACCEPT_RETRY_DELAY;
        }
        if (server.isOpen()) {
            loop.schedule(delay, () -> acceptWaiting(server));
        }
    }

    /** A connection that cannot be used is closed, and no other with it. */
    private void register(SocketChannel accepted) {
        try {
            manager.accepted(accepted);
        } catch (IOException | RuntimeException e) {
            LOG.warn("failed to register accepted connection: {}", e.toString());
            EventLoop.close(accepted);
        }
    }

    /**
     * The handler for a connection accepted at this local address; null if its socket is closed.
     */
    EventLoop.ChannelHandler handlerFor(SocketAddress local) {
        EventLoop.ChannelHandler handler = handlers.get(local);
        if (handler != null || !(local instanceof InetSocketAddress address)) {
            return handler;
        }
        // A socket that listens on all addresses accepts on one of them.
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
