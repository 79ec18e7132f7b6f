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
 * The administrative server: operators' commands on an address of their own, whatever the clients
 * do. Only for the event loop's thread.
 */
public final class AdminServer implements EventLoop.ChannelHandler {
    /** Connections at one time, for scripts and a person or two; one more evicts the oldest. */
    public static final int MAX_CONNECTIONS = 8;

    /** File descriptors: the connections, the listening socket, and a connection being accepted. */
    public static final int DESCRIPTORS = MAX_CONNECTIONS + 2;

    private final EventLoop loop;
    private final ServiceStatus status;

    /** The oldest first. */
    private final Set<AdminConnection> connections = new LinkedHashSet<>();

    private ServerSocketChannel server;

    /** Makes a server that does not listen yet. */
    public AdminServer(EventLoop loop, ServiceStatus status) {
        this.loop = loop;
        this.status = status;
    }

    /**
     * Accepts connections from here on.
     *
     * @throws IOException if the address cannot be used
     */
    public void listen(InetSocketAddress address) throws IOException {
        server = loop.listen(address, this);
    }

    /** The local port; chosen by the system if the configured one is 0. */
    public int port() {
        return server.socket().getLocalPort();
    }

    @Override
    public Connection onOpened(EndPoint endPoint) {
        return new AdminConnection(endPoint, loop, this);
    }

    @Override
    public void onFailed(Throwable cause) {
        // It broke at once: no command had come.
    }

    /** Evicts the oldest connection if there are too many: it has had the most time. */
    void onOpened(AdminConnection connection) {
        if (connections.size() >= MAX_CONNECTIONS) {
            connections.iterator().next().close();
        }
        connections.add(connection);
    }

    void closed(AdminConnection connection) {
        connections.remove(connection);
    }

    /** The response to a command, with its last line feed. */
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

    private static String members(String peers) {
        return peers == null ? "fail this dispatcher knows no others\n" : peers + "eof\n";
    }
}
