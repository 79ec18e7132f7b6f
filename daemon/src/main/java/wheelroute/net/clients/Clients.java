package wheelroute.net.clients;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.net.Counters;
import wheelroute.net.Loop;

/** The client side: the listening socket and the connections accepted on it, of which there is a bound. */
public final class Clients implements Loop.Peer {
    /** Beyond the bound this part of it more is told to go away, each in a moment; the rest is closed. */
    private static final double TURNED_AWAY_PART = 0.06;
    /** More than this part that has not spoken yet is a crowd of strangers. */
    private static final double CROWD_PART = 0.5;
    /** A connection idle for so long between two messages is closed: its client may be long gone. */
    private static final long IDLE_MILLIS = 120_000;
    /** Of the heap so much may be clients' bodies: what they become on their way is as much again. */
    private static final double HELD_PART = 0.25;

    private final Loop loop;
    private final Submitters submitters;
    private final Counters counters;
    private final int mostAlone;
    private int most;
    private final Room room = new Room((long) (HELD_PART * Runtime.getRuntime().maxMemory()));
    private final Set<ClientConnection> open = new LinkedHashSet<>();
    private ServerSocketChannel server;
    private boolean isListening;

    public Clients(Loop loop, Submitters submitters, Counters counters, int most) {
        this.loop = loop;
        this.submitters = submitters;
        this.counters = counters;
        mostAlone = most;
        this.most = most;
    }

    /** Shared: a second process may listen there too, and each is dealt a part of the connections. */
    public void listen(InetSocketAddress address, boolean shared) throws IOException {
        server = loop.listen(address, this, shared);
        isListening = true;
    }

    /** So many processes share the bound; who is over it by that makes room as others come. */
    public void sharedBy(int processes) {
        most = mostAlone / processes;
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
        if (open.size() >= most) {
            // Last those who submitted before, and not for a crowd: they keep connections to use them.
            first(ClientConnection::isLingering).or(() -> first(ClientConnection::isIdleVisitor))
                    .or(() -> first(ClientConnection::isSilent))
                    .or(() -> isCrowded() ? Optional.empty() : first(ClientConnection::isIdle))
                    .ifPresent(ClientConnection::close);
        }
        open.add(connection);
        if (open.size() > most + 1 + TURNED_AWAY_PART * most) {
            connection.close();
        }
        return open.size() <= most;
    }

    private boolean isCrowded() {
        return open.stream().filter(ClientConnection::isUnknown).count() > CROWD_PART * most;
    }

    private Optional<ClientConnection> first(Predicate<ClientConnection> test) {
        return open.stream().filter(test).findFirst();
    }

    /** Keeps the open ones in the order in which they last spoke: the longest idle makes room first. */
    void heard(ClientConnection connection) {
        if (open.remove(connection)) {
            open.add(connection);
        }
    }

    Room room() {
        return room;
    }

    void closed(ClientConnection connection) {
        open.remove(connection);
    }

    public int open() {
        return open.size();
    }

    void turnedAway(ClientMessage message) {
        submitters.turnedAway(message);
    }

    void notTaken() {
        counters.count(Counters.Kind.NOT_TAKEN);
    }

    Submitters.Taken take(ClientMessage message, Submitters.Answers answers) throws BadMessage {
        return submitters.take(message, answers);
    }

    boolean closesConnections() {
        return submitters.closesConnections();
    }

    ClientAnswer health() {
        return submitters.isDraining() ? ClientAnswer.of(HttpStatus.SERVICE_UNAVAILABLE_503, "draining")
                : ClientAnswer.of(HttpStatus.OK_200, "ok");
    }

    byte[] metrics() {
        return submitters.metrics().getBytes(StandardCharsets.UTF_8);
    }

    /** No new connections, and none kept between two submissions but by a dispatcher that serves on. */
    public void stopListening() {
        if (isListening) {
            isListening = false;
            loop.unlistenEmptied(server);
        }
        if (!closesConnections()) {
            return;
        }
        for (ClientConnection connection : new ArrayList<>(open)) {
            connection.closeIfIdle();
        }
    }
}
