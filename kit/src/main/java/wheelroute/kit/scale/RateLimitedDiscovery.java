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
 * A stub discovery with limited capacity, which serves calls one at a time and changes its endpoint
 * list on request of a measurement. A change counts as in force at a dispatcher when the dispatcher
 * requests the versions after it, because a watch sends its next call only after the list is used
 * for decisions. Used on the event loop's thread.
 */
final class RateLimitedDiscovery {
    private static final String RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ";

    /** Kinds of dispatchers, each of which calls its own address and is counted separately. */
    enum Caller {
        /** A separate process that was started by the shipped command. */
        PROCESS,
        /** A dispatcher within the measuring process. */
        IN_PROCESS
    }

    private final EventLoop loop;
    private final EndpointListHistory endpoints;
    private final Set<DispatcherConnection> connections = new HashSet<>();
    private final Map<Caller, ServerSocketChannel> servers = new EnumMap<>(Caller.class);
    private final Map<Caller, InetSocketAddress> serverAddresses = new EnumMap<>(Caller.class);
    private final Map<Caller, DiscoveryCallStatistics> statistics = new EnumMap<>(Caller.class);
    private double callsPerSecond;

    /** Time on the loop's clock when all queued calls will have been served. */
    private double idleAt;

    /**
     * Starts listening.
     *
     * @param callsPerSecond maximum rate at which calls are served
     * @param workerAddresses addresses of the workers, by worker number
     */
    RateLimitedDiscovery(
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

    /** Returns the address that dispatchers of this kind must call. */
    InetSocketAddress address(Caller caller) {
        return serverAddresses.get(caller);
    }

    DiscoveryCallStatistics statistics(Caller caller) {
        return statistics.get(caller);
    }

    /** Changes the given number of workers in one new version and answers the held watches. */
    void changeEndpoints(int count) {
        endpoints.change(count, loop.now());
        new ArrayList<>(connections).forEach(DispatcherConnection::answerIfChanged);
    }

    /** Simulates a restart: closes all connections and refuses new ones during the downtime. */
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
                        throw new UncheckedIOException(
                                "the stub discovery failed to listen after its restart", e);
                    }
                });
    }

    void setCallsPerSecond(double maximum) {
        callsPerSecond = maximum;
    }

    /** Returns the size of the body of a response with the complete list. */
    int completeListBytes() {
        return endpoints.completeJson().length;
    }

    /**
     * Returns the number of connections on which the newest version is not in force yet, because
     * they have not requested the changes after that version.
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
            // No handling is needed, because the dispatcher retries.
        }
    }

    /** A connection of a dispatcher, which makes one call at a time. */
    private final class DispatcherConnection extends ServerConnection {
        private static final long NONE = -1;

        private final DiscoveryCallStatistics callerStatistics;

        /** Version after which the last watch requested changes; NONE before the first watch. */
        private long acknowledgedVersion = NONE;

        /** Version after which the held watch requests changes; NONE while no watch is held. */
        private long heldVersion = NONE;

        private EventLoop.Timer holdTimeout;
        private boolean isClosed;

        DispatcherConnection(EndPoint endPoint, DiscoveryCallStatistics callerStatistics) {
            super(endPoint, RateLimitedDiscovery.this.loop);
            this.callerStatistics = callerStatistics;
        }

        @Override
        protected void onRequest(ClientRequest message) {
            callerStatistics.onCall();
            Optional<DiscoveryWatch> watch = DiscoveryWatch.parse(message.target());
            if (watch.isEmpty()) {
                runAfterQueuedCalls(() -> respond(endpoints.completeJson()));
                return;
            }
            long version = Math.min(endpoints.version(), watch.get().version());
            acknowledge(version);
            heldVersion = version;
            holdTimeout = loop.schedule(watch.get().holdSeconds(), this::answerHeldWatch);
            answerIfChanged();
        }

        /** Records the time until each newly acknowledged version was in force. */
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
                runAfterQueuedCalls(() -> respond(endpoints.changesJson(version)));
            }
        }

        private void runAfterQueuedCalls(Runnable task) {
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
