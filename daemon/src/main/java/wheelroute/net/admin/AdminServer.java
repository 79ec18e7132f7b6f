package wheelroute.net.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.LinkedHashSet;
import java.util.Set;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.net.loop.EventLoop;

/**
 * Answers operators' commands on a separate address, so that operators can connect regardless of
 * the number of clients. Confined to the event loop's thread.
 */
public final class AdminServer implements EventLoop.ChannelHandler {
    /** Maximum number of connections. A further connection evicts the oldest one. */
    public static final int MAX_CONNECTIONS = 8;

    /**
     * Maximum number of file descriptors: the connections, the listening socket, and a connection
     * that is being accepted.
     */
    public static final int MAX_DESCRIPTORS = MAX_CONNECTIONS + 2;

    private final EventLoop loop;
    private final ServiceStatus status;

    /** The open connections in the order in which they were opened. */
    private final Set<AdminConnection> connections = new LinkedHashSet<>();

    private ServerSocketChannel server;

    /** Creates a server that does not listen yet. */
    public AdminServer(EventLoop loop, ServiceStatus status) {
        this.loop = loop;
        this.status = status;
    }

    /**
     * Starts to accept connections.
     *
     * @throws IOException if the address cannot be used
     */
    public void listen(InetSocketAddress address) throws IOException {
        server = loop.listen(address, this);
    }

    /**
     * Returns the local port, which the operating system has chosen if the configured port is 0.
     */
    public int port() {
        return server.socket().getLocalPort();
    }

    @Override
    public Connection onOpened(EndPoint endPoint) {
        return new AdminConnection(endPoint, loop, this);
    }

    @Override
    public void onFailed(Throwable cause) {
        // The connection broke before a command could be received.
    }

    /**
     * Adds a connection. If there are too many, closes the oldest one, which has had the most time
     * for its command.
     */
    void onOpened(AdminConnection connection) {
        if (connections.size() >= MAX_CONNECTIONS) {
            connections.iterator().next().close();
        }
        connections.add(connection);
    }

    /** Removes a connection. May be called more than once for a connection. */
    void onClosed(AdminConnection connection) {
        connections.remove(connection);
    }

    /** Returns the response to a command, including the line feed at its end. */
    String answer(String command) {
        return switch (command) {
            case "READY" -> readiness(status.notReadyReason());
            case "STATS" -> StatsText.of(status.counters(), status.gauges()) + "eof\n";
            case "PEERS" -> members(status.membersText());
            default -> "fail unknown call: READY, STATS or PEERS\n";
        };
    }

    private static String readiness(String reason) {
        return reason == null ? "ok ready\n" : "fail " + reason + "\n";
    }

    private static String members(String membersText) {
        return membersText == null
                ? "fail this dispatcher knows no others\n"
                : membersText + "eof\n";
    }
}
