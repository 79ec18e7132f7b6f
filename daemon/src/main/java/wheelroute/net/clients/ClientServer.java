package wheelroute.net.clients;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.metrics.Counters;

/**
 * The server for clients: the listening socket, and the connections that are accepted on it within
 * a limit. Only for the event loop's thread.
 */
public final class ClientServer implements EventLoop.ChannelHandler {
    /** Over the limit, this fraction of it more is sent a rejection; further ones are closed. */
    private static final double REJECTED_FRACTION = 0.06;

    /** A connection idle for this long is closed: its client may be long gone. */
    private static final long IDLE_TIMEOUT_MILLIS = 120_000;

    /** Of the heap, for bodies of requests: what is made of them takes as much again. */
    private static final double BODIES_HEAP_FRACTION = 0.25;

    /** Of the heap, for what clients send ahead: it must not take the memory of bodies. */
    private static final double PIPELINED_HEAP_FRACTION = 0.06;

    /** In bytes, however large the heap: sixteen clients that send ahead as much as they may. */
    private static final long MAX_PIPELINED_BYTES = 16L * PipelinedInput.MAX_BYTES;

    private final EventLoop loop;
    private final RequestAcceptor acceptor;
    private final Counters counters;

    /** The limit of the whole dispatcher. */
    private final int dispatcherLimit;

    private final ConnectionLimit<ClientConnection> connections;
    private final MemoryQuota bodyQuota =
            new MemoryQuota((long) (BODIES_HEAP_FRACTION * Runtime.getRuntime().maxMemory()));
    private final MemoryQuota pipelinedQuota =
            new MemoryQuota(
                    Math.min(
                            MAX_PIPELINED_BYTES,
                            (long) (PIPELINED_HEAP_FRACTION * Runtime.getRuntime().maxMemory())));
    private ServerSocketChannel server;
    private boolean isListening;

    /**
     * Makes a server that does not listen yet.
     *
     * @param limit on connections
     */
    public ClientServer(EventLoop loop, RequestAcceptor acceptor, Counters counters, int limit) {
        this.loop = loop;
        this.acceptor = acceptor;
        this.counters = counters;
        dispatcherLimit = limit;
        connections = new ConnectionLimit<>(limit);
    }

    /**
     * Accepts connections from here on.
     *
     * @param shared whether another process may listen at the address too; each then receives a
     *     part of the connections
     * @throws IOException if the address cannot be used
     */
    public void listen(InetSocketAddress address, boolean shared) throws IOException {
        server = loop.listen(address, this, shared);
        isListening = true;
    }

    /**
     * So many processes share the dispatcher's limit. Connections over it are evicted at once:
     * otherwise all new ones would be closed unheard.
     */
    public void sharedBy(int processes) {
        connections.limit(dispatcherLimit / processes);
        int previous = connections.count() + 1;
        while (connections.isOverLimit() && connections.count() < previous) {
            previous = connections.count();
            connections
                    .connectionToEvict(loop.now(), ClientConnection::hasUnread)
                    .ifPresent(ClientConnection::evict);
        }
    }

    /** Whether a client may be about to send: see {@link ConnectionLimit#expectsRequest}. */
    public boolean expectsRequest() {
        return connections.expectsRequest(loop.now());
    }

    /** The local port; chosen by the system if the configured one is 0. */
    public int port() {
        return server.socket().getLocalPort();
    }

    @Override
    public Connection onOpened(EndPoint endPoint) {
        endPoint.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        return new ClientConnection(endPoint, loop, this);
    }

    @Override
    public void onFailed(Throwable cause) {
        // It broke at once: no request had come.
    }

    /** Admits a connection; false when it is over the limit and none could be evicted for it. */
    boolean onOpened(ClientConnection connection) {
        counters.count(Counters.Counter.CLIENT_CONNECTIONS);
        connections
                .connectionToEvict(loop.now(), ClientConnection::hasUnread)
                .ifPresent(ClientConnection::evict);
        connections.update(connection, ConnectionLimit.Stage.NEW, loop.now());
        if (connections.count()
                > connections.limit() + 1 + REJECTED_FRACTION * connections.limit()) {
            connection.close();
        }
        return connections.count() <= connections.limit();
    }

    /** The connection has reached this stage. */
    void update(ClientConnection connection, ConnectionLimit.Stage stage) {
        connections.update(connection, stage, loop.now());
    }

    MemoryQuota bodyQuota() {
        return bodyQuota;
    }

    MemoryQuota pipelinedQuota() {
        return pipelinedQuota;
    }

    /** May be called more than once. */
    void onClosed(ClientConnection connection) {
        connections.remove(connection);
    }

    /** How many connections are open. */
    public int open() {
        return connections.count();
    }

    /** A request has been rejected because its connection is over the limit. */
    void onRejected(ClientRequest message) {
        acceptor.onRejected(message);
    }

    /** A request that is not valid, or not complete, has been refused. */
    void onNotAccepted() {
        counters.count(Counters.Counter.REQUESTS_NOT_ACCEPTED);
    }

    RequestAcceptor.AcceptedRequest accept(
            ClientRequest message, double arrivedAt, RequestAcceptor.ResponseSender responses)
            throws BadRequestException {
        return acceptor.accept(message, arrivedAt, responses);
    }

    boolean closesAfterResponse() {
        return acceptor.closesAfterResponse();
    }

    ClientResponse health() {
        return acceptor.isDraining()
                ? ClientResponse.of(HttpStatus.SERVICE_UNAVAILABLE_503, "draining")
                : ClientResponse.of(HttpStatus.OK_200, "ok");
    }

    byte[] metrics() {
        return acceptor.metrics().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Reads what has arrived, and may accept it, before the process ends. Silent connections are
     * closed, so that no client sends a request to a process that will not read it.
     */
    public void readLastAndClose() {
        for (ConnectionLimit.Stage stage : ConnectionLimit.Stage.values()) {
            connections.connectionsIn(stage).forEach(ClientConnection::readLastAndClose);
        }
    }

    /**
     * Accepts no new connections. Idle ones are closed, unless this dispatcher serves until its
     * end.
     */
    public void stopListening() {
        if (isListening) {
            isListening = false;
            loop.drainAndCloseListener(server);
        }
        if (!closesAfterResponse()) {
            return;
        }
        for (ConnectionLimit.Stage stage :
                List.of(ConnectionLimit.Stage.IDLE_VISITOR, ConnectionLimit.Stage.IDLE_CLIENT)) {
            connections.connectionsIn(stage).forEach(ClientConnection::closeIfIdle);
        }
    }
}
