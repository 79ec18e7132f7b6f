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
import wheelroute.net.memory.HeapBudget;
import wheelroute.net.metrics.Counters;

/**
 * The HTTP server for clients. Owns the listening socket, the connections accepted on the socket
 * within a limit, and the share of the connections in the memory. Used on the event loop's thread
 * only.
 */
public final class ClientServer implements EventLoop.ChannelHandler {
    /**
     * The number of connections over the limit, as a fraction of the limit, whose requests are
     * answered with a rejection. Further connections are closed at once.
     */
    private static final double REJECTED_FRACTION = 0.06;

    /**
     * Time after which an idle connection is closed, as its client may have disconnected unnoticed.
     */
    static final long IDLE_TIMEOUT_MILLIS = 120_000;

    private final EventLoop loop;
    private final RequestAcceptor acceptor;
    private final Counters counters;

    /** The maximum number of connections of all processes of this dispatcher together. */
    private final int dispatcherLimit;

    private final ConnectionLimit<ClientConnection> connections;
    private final HeapBudget heapBudget;
    private final ConnectionNumbers<ClientConnection> numbers = new ConnectionNumbers<>();
    private ServerSocketChannel server;
    private boolean isListening;

    /**
     * Creates a server that does not listen yet.
     *
     * @param heapBudget limits the memory of all connections
     * @param limit the maximum number of connections of all processes of the dispatcher together
     */
    public ClientServer(
            EventLoop loop,
            RequestAcceptor acceptor,
            Counters counters,
            HeapBudget heapBudget,
            int limit) {
        this.loop = loop;
        this.acceptor = acceptor;
        this.counters = counters;
        this.heapBudget = heapBudget;
        dispatcherLimit = limit;
        connections = new ConnectionLimit<>(limit);
    }

    /**
     * Starts to accept connections.
     *
     * @param shared whether another process may listen at the same address; new connections are
     *     then distributed among the processes
     * @throws IOException if the address cannot be used
     */
    public void listen(InetSocketAddress address, boolean shared) throws IOException {
        server = loop.listen(address, this, shared);
        isListening = true;
    }

    /**
     * Sets the number of processes that share the dispatcher's limit. Connections over the new
     * limit of this process are evicted at once, because otherwise every new one would be closed.
     */
    public void setProcessCount(int processes) {
        connections.limit(dispatcherLimit / processes);
        int previous = connections.count() + 1;
        while (connections.isOverLimit() && connections.count() < previous) {
            previous = connections.count();
            connections
                    .connectionToEvict(loop.now(), ClientConnection::readAvailable)
                    .ifPresent(ClientConnection::evict);
        }
    }

    /** Whether a request may be about to arrive, see {@link ConnectionLimit#expectsRequest}. */
    public boolean expectsRequest() {
        return connections.expectsRequest(loop.now());
    }

    /** Returns the local port, which the system chose if the configured one is 0. */
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
        // The connection broke before any request arrived.
    }

    /**
     * Adds a connection, for which another one may be evicted.
     *
     * @return whether the connection is within the limit; otherwise it may already be closed
     */
    boolean onOpened(ClientConnection connection) {
        counters.count(Counters.Counter.CLIENT_CONNECTIONS);
        numbers.add(connection);
        connections
                .connectionToEvict(loop.now(), ClientConnection::readAvailable)
                .ifPresent(ClientConnection::evict);
        connections.update(connection, ConnectionLimit.Stage.NEW, loop.now());
        if (connections.count() > maxOpenConnections(connections.limit())) {
            connection.close();
        }
        return connections.count() <= connections.limit();
    }

    /**
     * Returns the maximum number of open connections, including those over a limit whose requests
     * are rejected.
     */
    public static int maxOpenConnections(int limit) {
        return limit + 1 + (int) (REJECTED_FRACTION * limit);
    }

    /** Records that a connection has reached a stage, or made progress within it. */
    void update(ClientConnection connection, ConnectionLimit.Stage stage) {
        connections.update(connection, stage, loop.now());
    }

    HeapBudget heapBudget() {
        return heapBudget;
    }

    /** Removes a connection; does nothing if it was already removed. */
    void onClosed(ClientConnection connection) {
        connections.remove(connection);
        numbers.remove(connection);
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return connections.count();
    }

    /** Records a request that was rejected because its connection is over the limit. */
    void onRejected(ClientRequest message) {
        acceptor.onRejected(message);
    }

    /** Records a request that was not accepted because it was invalid or incomplete. */
    void onNotAccepted() {
        counters.count(Counters.Counter.REQUESTS_NOT_ACCEPTED);
    }

    RequestAcceptor.AcceptedRequest accept(
            ClientRequest message, double arrivedAt, ClientConnection connection)
            throws BadRequestException {
        return acceptor.accept(message, arrivedAt, numbers.get(connection), connection);
    }

    boolean closesAfterResponse() {
        return acceptor.closesAfterResponse();
    }

    /** Returns the response to a GET request, which queries the status of the dispatcher. */
    ClientResponse responseToGet(String path) {
        return switch (path) {
            case "/healthz" -> health();
            case "/metrics" ->
                    ClientResponse.succeeded(acceptor.metrics().getBytes(StandardCharsets.UTF_8));
            default -> ClientResponse.of(HttpStatus.NOT_FOUND_404, "no such page");
        };
    }

    private ClientResponse health() {
        return acceptor.isDraining()
                ? ClientResponse.of(HttpStatus.SERVICE_UNAVAILABLE_503, "draining")
                : ClientResponse.of(HttpStatus.OK_200, "ok");
    }

    /**
     * Reads the requests that have already arrived, before the process ends. All connections
     * without such a request are closed, so that no client sends one that would not be read.
     */
    public void readPendingOrClose() {
        for (ConnectionLimit.Stage stage : ConnectionLimit.Stage.values()) {
            connections.connectionsIn(stage).forEach(ClientConnection::readPendingOrClose);
        }
    }

    /**
     * Stops accepting connections. Idle connections are closed, unless the dispatcher keeps
     * connections open until the process ends.
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
                List.of(ConnectionLimit.Stage.IDLE_NO_REQUEST, ConnectionLimit.Stage.IDLE_CLIENT)) {
            connections.connectionsIn(stage).forEach(ClientConnection::closeIfIdle);
        }
    }
}
