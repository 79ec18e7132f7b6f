package wheelroute.net.clients;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.limits.Places;
import wheelroute.net.Counters;
import wheelroute.net.Loop;

/**
 * The client side: the listening socket and the connections accepted on it, of which there is a
 * bound.
 */
public final class Clients implements Loop.Peer {
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
    private static final long MOST_AHEAD = 16L * Ahead.MOST;

    private final Loop loop;
    private final Submitters submitters;
    private final Counters counters;
    private final int mostAlone;
    private final Places<ClientConnection> places;
    private final Room room = new Room((long) (HELD_PART * Runtime.getRuntime().maxMemory()));
    private final Room roomAhead =
            new Room(Math.min(MOST_AHEAD, (long) (AHEAD_PART * Runtime.getRuntime().maxMemory())));
    private ServerSocketChannel server;
    private boolean isListening;

    public Clients(Loop loop, Submitters submitters, Counters counters, int most) {
        this.loop = loop;
        this.submitters = submitters;
        this.counters = counters;
        mostAlone = most;
        places = new Places<>(most);
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
        places.most(mostAlone / processes);
        int before = places.taken() + 1;
        while (places.isOver() && places.taken() < before) {
            before = places.taken();
            places.makesRoom(loop.now(), ClientConnection::hasUnread)
                    .ifPresent(ClientConnection::makeRoom);
        }
    }

    /** A client may be about to hand over a message: see {@link Places#expects}. */
    public boolean expects() {
        return places.expects(loop.now());
    }

    /** The port is the system's choice when the configuration names 0. */
    public int port() {
        return server.socket().getLocalPort();
    }

    @Override
    public Connection opened(EndPoint endPoint) {
        endPoint.setIdleTimeout(IDLE_MILLIS);
        return new ClientConnection(endPoint, loop, this);
    }

    @Override
    public void failed(Throwable cause) {
        // An accepted connection that broke at once: nothing was taken on it.
    }

    /** False when it is one too many, and none that is done, idle or silent can make room. */
    boolean opened(ClientConnection connection) {
        counters.count(Counters.Kind.CLIENTS_OPENED);
        places.makesRoom(loop.now(), ClientConnection::hasUnread)
                .ifPresent(ClientConnection::makeRoom);
        places.is(connection, Places.Stage.UNKNOWN, loop.now());
        if (places.taken() > places.most() + 1 + TURNED_AWAY_PART * places.most()) {
            connection.close();
        }
        return places.taken() <= places.most();
    }

    void is(ClientConnection connection, Places.Stage stage) {
        places.is(connection, stage, loop.now());
    }

    Room room() {
        return room;
    }

    Room roomAhead() {
        return roomAhead;
    }

    void closed(ClientConnection connection) {
        places.closed(connection);
    }

    public int open() {
        return places.taken();
    }

    void turnedAway(ClientMessage message) {
        submitters.turnedAway(message);
    }

    void notTaken() {
        counters.count(Counters.Kind.NOT_TAKEN);
    }

    Submitters.Taken take(ClientMessage message, double cameAt, Submitters.Answers answers)
            throws BadMessage {
        return submitters.take(message, cameAt, answers);
    }

    boolean closesConnections() {
        return submitters.closesConnections();
    }

    ClientAnswer health() {
        return submitters.isDraining()
                ? ClientAnswer.of(HttpStatus.SERVICE_UNAVAILABLE_503, "draining")
                : ClientAnswer.of(HttpStatus.OK_200, "ok");
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
        for (Places.Stage stage : Places.Stage.values()) {
            places.at(stage).forEach(ClientConnection::lastLook);
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
        for (Places.Stage stage : List.of(Places.Stage.VISITOR, Places.Stage.KNOWN)) {
            places.at(stage).forEach(ClientConnection::closeIfIdle);
        }
    }
}
