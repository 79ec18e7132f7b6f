package wheelroute.net.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.LinkedHashSet;
import java.util.Set;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.net.EventLoop;

/** The operators' address and the few callers on it: the oldest makes room for one too many. */
public final class AdminServer implements EventLoop.ChannelHandler {
    /**
     * Callers at one time: scripts and a person or two; what they hold is taken from nobody else.
     */
    public static final int MOST_CALLERS = 8;

    /** The callers', the listening socket's and one for a caller who waits to be let in. */
    public static final int DESCRIPTORS = MOST_CALLERS + 2;

    private final EventLoop loop;
    private final ServiceStatus operators;
    private final Set<AdminConnection> callers = new LinkedHashSet<>();
    private ServerSocketChannel server;

    public AdminServer(EventLoop loop, ServiceStatus operators) {
        this.loop = loop;
        this.operators = operators;
    }

    public void listen(InetSocketAddress address) throws IOException {
        server = loop.listen(address, this);
    }

    /** The port is the system's choice when the configuration names 0. */
    public int port() {
        return server.socket().getLocalPort();
    }

    @Override
    public Connection onOpened(EndPoint endPoint) {
        return new AdminConnection(endPoint, loop, this);
    }

    @Override
    public void onFailed(Throwable cause) {
        // A caller whose connection broke at once had asked nothing yet.
    }

    /** The first of them has had the longest time to say what it wants. */
    void onOpened(AdminConnection call) {
        if (callers.size() >= MOST_CALLERS) {
            callers.iterator().next().close();
        }
        callers.add(call);
    }

    void closed(AdminConnection call) {
        callers.remove(call);
    }

    String answer(String call) {
        return switch (call) {
            case "READY" -> readiness(operators.notReadyReason());
            case "STATS" -> StatsText.of(operators.counters(), operators.gauges()) + "eof\n";
            case "PEERS" -> members(operators.membersText());
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
