package wheelroute.net.clients;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.limits.ConnectionLimit;
import wheelroute.net.Counters;
import wheelroute.net.EventLoop;

/**
 * The client side: the listening socket and the connections accepted on it, of which there is a
 * bound.
 */
public final class ClientServer implements EventLoop.ChannelHandler {
    /**
     * Beyond the bound this part of it more is told to go away, each in a moment; the rest is
     * closed.
     */
    private static final double TURNED_AWAY_PART = 0.06;

    /**
     * A connection idle for so long between two messages is closed: its client may be long gone.
     */
    private static final long IDLE_MILLIS = 120_000;

    /**
     * Of the heap so much may be clients' bodies: what they become on their way is as much again.
     */
    private static final double HELD_PART = 0.25;

    /**
     * And so much what they send before their turn: who sends much must not take the others' room.
     */
    private static final double AHEAD_PART = 0.06;

    /**
     * And no more than this, however large the heap: sixteen who send as much as is kept of one.
     */
    private static final long MOST_AHEAD = 16L * PipelinedInput.MOST;

    private final EventLoop loop;
    private final RequestAcceptor submitters;
    private final Counters counters;
    private final int mostAlone;
    private final ConnectionLimit<ClientConnection> places;
    private final MemoryQuota room =
            new MemoryQuota((long) (HELD_PART * Runtime.getRuntime().maxMemory()));
    private final MemoryQuota roomAhead =
            new MemoryQuota(
                    Math.min(MOST_AHEAD, (long) (AHEAD_PART * Runtime.getRuntime().maxMemory())));
    private ServerSocketChannel server;
    private boolean isListening;

    public ClientServer(EventLoop loop, RequestAcceptor submitters, Counters counters, int most) {
        this.loop = loop;
        this.submitters = submitters;
        this.counters = counters;
        mostAlone = most;
        places = new ConnectionLimit<>(most);
    }

    /**
     * Shared: a second process may listen there too, and each is dealt a part of the connections.
     */
    public void listen(InetSocketAddress address, boolean shared) throws IOException {
        server = loop.listen(address, this, shared);
        isListening = true;
    }

    /**
     * So many processes share the bound. Who is over it by that makes room at once: else every one
     * that comes next would be too many by far, and be closed unheard.
     */
    public void sharedBy(int processes) {
        places.limit(mostAlone / processes);
        int before = places.count() + 1;
        while (places.isOverLimit() && places.count() < before) {
            before = places.count();
            places.connectionToEvict(loop.now(), ClientConnection::hasUnread)
                    .ifPresent(ClientConnection::makeRoom);
        }
    }

    /** A client may be about to hand over a message: see {@link ConnectionLimit#expectsRequest}. */
    public boolean expects() {
        return places.expectsRequest(loop.now());
    }

    /** The port is the system's choice when the configuration names 0. */
    public int port() {
        return server.socket().getLocalPort();
    }

    @Override
    public Connection onOpened(EndPoint endPoint) {
        endPoint.setIdleTimeout(IDLE_MILLIS);
        return new ClientConnection(endPoint, loop, this);
    }

    @Override
    public void onFailed(Throwable cause) {
        // An accepted connection that broke at once: nothing was taken on it.
    }

    /** False when it is one too many, and none that is done, idle or silent can make room. */
    boolean onOpened(ClientConnection connection) {
        counters.count(Counters.Counter.CLIENT_CONNECTIONS);
        places.connectionToEvict(loop.now(), ClientConnection::hasUnread)
                .ifPresent(ClientConnection::makeRoom);
        places.update(connection, ConnectionLimit.Stage.NEW, loop.now());
        if (places.count() > places.limit() + 1 + TURNED_AWAY_PART * places.limit()) {
            connection.close();
        }
        return places.count() <= places.limit();
    }

    void is(ClientConnection connection, ConnectionLimit.Stage stage) {
        places.update(connection, stage, loop.now());
    }

    MemoryQuota room() {
        return room;
    }

    MemoryQuota roomAhead() {
        return roomAhead;
    }

    void closed(ClientConnection connection) {
        places.remove(connection);
    }

    public int open() {
        return places.count();
    }

    void turnedAway(ClientRequest message) {
        submitters.onRejected(message);
    }

    void notTaken() {
        counters.count(Counters.Counter.REQUESTS_NOT_ACCEPTED);
    }

    RequestAcceptor.AcceptedRequest take(
            ClientRequest message, double cameAt, RequestAcceptor.ResponseSender answers)
            throws BadRequestException {
        return submitters.accept(message, cameAt, answers);
    }

    boolean closesConnections() {
        return submitters.closesAfterResponse();
    }

    ClientResponse health() {
        return submitters.isDraining()
                ? ClientResponse.of(HttpStatus.SERVICE_UNAVAILABLE_503, "draining")
                : ClientResponse.of(HttpStatus.OK_200, "ok");
    }

    byte[] metrics() {
        return submitters.metrics().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * The process is about to end. What has come is read, and may be taken; all that say nothing
     * are closed, so that nobody hands over a submission to a process that will not read it any
     * more.
     */
    public void lastLook() {
        for (ConnectionLimit.Stage stage : ConnectionLimit.Stage.values()) {
            places.connectionsIn(stage).forEach(ClientConnection::lastLook);
        }
    }

    /**
     * No new connections, and none kept between two submissions but by a dispatcher that serves on.
     */
    public void stopListening() {
        if (isListening) {
            isListening = false;
            loop.unlistenEmptied(server);
        }
        if (!closesConnections()) {
            return;
        }
        for (ConnectionLimit.Stage stage :
                List.of(ConnectionLimit.Stage.IDLE_VISITOR, ConnectionLimit.Stage.IDLE_CLIENT)) {
            places.connectionsIn(stage).forEach(ClientConnection::closeIfIdle);
        }
    }
}
