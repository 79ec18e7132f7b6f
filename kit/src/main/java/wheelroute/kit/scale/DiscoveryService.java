package wheelroute.kit.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntFunction;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.kit.process.DiscoveryWatch;
import wheelroute.kit.process.Loopback;
import wheelroute.kit.process.ServerConnection;
import wheelroute.net.clients.ClientRequest;
import wheelroute.net.loop.EventLoop;

/**
 * A stub discovery with limited capacity: it serves calls one at a time, and its list changes on
 * command. A change counts as in force at a dispatcher when that calls for the versions after it,
 * because a watch makes its next call only once the decisions have the list. Used on the event
 * loop's thread.
 */
final class DiscoveryService {
    private static final String RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ";

    /** Kinds of dispatchers: each has an address of its own and is counted by itself. */
    enum Caller {
        /** A process that was started by the shipped command. */
        PROCESS,
        /** A dispatcher within the measuring process. */
        HOLLOW
    }

    private final EventLoop loop;
    private final EndpointListHistory endpoints;
    private final Set<DispatcherConnection> connections = new HashSet<>();
    private final Map<Caller, ServerSocketChannel> servers = new EnumMap<>(Caller.class);
    private final Map<Caller, InetSocketAddress> serverAddresses = new EnumMap<>(Caller.class);
    private final Map<Caller, DiscoveryCallStatistics> statistics = new EnumMap<>(Caller.class);
    private double callsPerSecond;

    /** When the calls that are queued now will have been served. */
    private double idleAt;

    /**
     * Starts listening.
     *
     * @param callsPerSecond that are served at most
     * @param workerAddresses by worker number
     */
    DiscoveryService(
            EventLoop loop,
            int workerCount,
            double callsPerSecond,
            IntFunction<InetSocketAddress> workerAddresses)
            throws IOException {
        this.loop = loop;
        this.callsPerSecond = callsPerSecond;
        endpoints = new EndpointListHistory(workerCount, workerAddresses, loop.now());
        for (Caller caller : Caller.values()) {
            statistics.put(caller, new DiscoveryCallStatistics());
            serverAddresses.put(caller, Loopback.anyPort());
        }
        listen();
    }

    private void listen() throws IOException {
        for (Caller caller : Caller.values()) {
            ServerSocketChannel server =
                    loop.listen(serverAddresses.get(caller), new Acceptor(statistics.get(caller)));
            servers.put(caller, server);
            serverAddresses.put(caller, Loopback.address(server.socket().getLocalPort()));
        }
    }

    /** Returns where dispatchers of this kind are to call. */
    InetSocketAddress address(Caller caller) {
        return serverAddresses.get(caller);
    }

    DiscoveryCallStatistics statistics(Caller caller) {
        return statistics.get(caller);
    }

    /** Changes the given number of workers in one new version and notifies the watches. */
    void changeEndpoints(int count) {
        endpoints.change(count, loop.now());
        new ArrayList<>(connections).forEach(DispatcherConnection::answerIfChanged);
    }

    /** Closes all connections and refuses new ones for the given time. */
    void restart(double downtimeSeconds) throws IOException {
        for (ServerSocketChannel server : servers.values()) {
            loop.closeListener(server);
        }
        new ArrayList<>(connections).forEach(DispatcherConnection::disconnect);
        loop.schedule(
                downtimeSeconds,
                () -> {
                    try {
                        listen();
                    } catch (IOException e) {
                        throw new UncheckedIOException("discovery could not listen again", e);
                    }
                });
    }

    void setCallsPerSecond(double maximum) {
        callsPerSecond = maximum;
    }

    /** Returns the size of a response with the complete list. */
    int completeListBytes() {
        return endpoints.completeJson().length;
    }

    /**
     * Returns the number of connections that have not requested the changes after the newest
     * version.
     */
    long connectionsBehind() {
        return connections.stream()
                .filter(connection -> connection.acknowledgedVersion < endpoints.version())
                .count();
    }

    int connectionCount() {
        return connections.size();
    }

    /** Accepts the connections of one kind of caller. */
    private final class Acceptor implements EventLoop.ChannelHandler {
        private final DiscoveryCallStatistics callerStatistics;

        Acceptor(DiscoveryCallStatistics callerStatistics) {
            this.callerStatistics = callerStatistics;
        }

        @Override
        public Connection onOpened(EndPoint endPoint) {
            DispatcherConnection connection = new DispatcherConnection(endPoint, callerStatistics);
            connections.add(connection);
            return connection;
        }

        @Override
        public void onFailed(Throwable cause) {
            // The dispatcher retries.
        }
    }

    /** One dispatcher's connection: one call at a time. */
    private final class DispatcherConnection extends ServerConnection {
        private static final long NONE = -1;

        private final DiscoveryCallStatistics callerStatistics;

        /** The version after which the last watch requested changes; NONE before the first. */
        private long acknowledgedVersion = NONE;

        /** The version that a held watch has; NONE while no watch is held. */
        private long heldVersion = NONE;

        private EventLoop.Timer holdTimeout;
        private boolean isClosed;

        DispatcherConnection(EndPoint endPoint, DiscoveryCallStatistics callerStatistics) {
            super(endPoint, DiscoveryService.this.loop);
            this.callerStatistics = callerStatistics;
        }

        @Override
        protected void onRequest(ClientRequest message) {
            callerStatistics.onCall();
            Optional<DiscoveryWatch> watch = DiscoveryWatch.parse(message.target());
            if (watch.isEmpty()) {
                runInTurn(() -> respond(endpoints.completeJson()));
                return;
            }
            long version = Math.min(endpoints.version(), watch.get().version());
            acknowledge(version);
            heldVersion = version;
            holdTimeout = loop.schedule(watch.get().holdSeconds(), this::answerHeldWatch);
            answerIfChanged();
        }

        /** Records how long each version took that the dispatcher has put in force since. */
        private void acknowledge(long version) {
            long first = acknowledgedVersion < 0 ? version + 1 : acknowledgedVersion + 1;
            for (long inForce = first; inForce <= version; inForce++) {
                callerStatistics.onInForce(loop.now() - endpoints.changedAt((int) inForce));
            }
            acknowledgedVersion = version;
        }

        private void answerIfChanged() {
            if (heldVersion >= 0 && heldVersion < endpoints.version()) {
                answerHeldWatch();
            }
        }

        private void answerHeldWatch() {
            if (heldVersion >= 0) {
                long version = heldVersion;
                heldVersion = NONE;
                holdTimeout.cancel();
                runInTurn(() -> respond(endpoints.changesJson(version)));
            }
        }

        private void runInTurn(Runnable task) {
            idleAt = Math.max(idleAt, loop.now()) + 1 / callsPerSecond;
            loop.schedule(idleAt - loop.now(), task);
        }

        private void respond(byte[] json) {
            if (!isClosed) {
                byte[] head =
                        (RESPONSE_HEAD + json.length + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII);
                callerStatistics.onResponse((long) head.length + json.length);
                out.send(ByteBuffer.wrap(head), ByteBuffer.wrap(json));
            }
        }

        private void disconnect() {
            closeNow();
        }

        @Override
        protected void onClosed() {
            isClosed = true;
            connections.remove(this);
            if (holdTimeout != null) {
                holdTimeout.cancel();
            }
        }
    }
}
