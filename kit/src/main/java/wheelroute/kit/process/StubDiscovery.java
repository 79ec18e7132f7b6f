package wheelroute.kit.process;

import static wheelroute.units.TimeUnits.MILLIS_PER_SECOND;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.kit.audit.Auditor;
import wheelroute.kit.model.EndpointRegistry;
import wheelroute.kit.scenario.Scenario;
import wheelroute.net.clients.ClientRequest;
import wheelroute.net.loop.EventLoop;

/**
 * Stub of discovery for one dispatcher, which serves the endpoint registry of the model by the
 * discovery protocol. Used on the event loop's thread.
 */
final class StubDiscovery implements EventLoop.ChannelHandler {
    /**
     * Time after which a change counts as known to the dispatcher even if it was not sent, because
     * a missed watch does not justify the use of an outdated list.
     */
    private static final double NOTIFICATION_DEADLINE_SECONDS = 6;

    private final EventLoop loop;
    private final int dispatcher;
    private final RunContext context;
    private final BooleanSupplier isReachable;
    private final Set<DispatcherConnection> connections = new HashSet<>();
    private final InetSocketAddress address;

    /**
     * Objects of the run that a stub uses; all but the worker addresses are shared by the stubs of
     * all dispatchers.
     *
     * @param workerAddresses address of each worker as this dispatcher reaches it, by worker number
     * @param calls counter for the calls of all dispatchers
     */
    record RunContext(
            EndpointRegistry registry,
            Auditor auditor,
            Scenario scenario,
            IntFunction<InetSocketAddress> workerAddresses,
            DiscoveryCallCounter calls) {}

    /**
     * Creates a stub for one dispatcher and starts to listen.
     *
     * @param listenAddress address to listen on; port 0 lets the system choose the port
     * @param isReachable returns false while responses may not arrive at the dispatcher
     */
    StubDiscovery(
            EventLoop loop,
            int dispatcher,
            RunContext context,
            InetSocketAddress listenAddress,
            BooleanSupplier isReachable)
            throws IOException {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.context = context;
        this.isReachable = isReachable;
        ServerSocketChannel server = loop.listen(listenAddress, this);
        address = Loopback.address(server.socket().getLocalPort());
        context.registry.watch(this::onChanged);
        context.registry.onOutage(
                () -> new ArrayList<>(connections).forEach(DispatcherConnection::failOutage));
    }

    InetSocketAddress address() {
        return address;
    }

    @Override
    public Connection onOpened(EndPoint endPoint) {
        DispatcherConnection connection = new DispatcherConnection(endPoint);
        connections.add(connection);
        return connection;
    }

    @Override
    public void onFailed(Throwable cause) {
        // The dispatcher retries a call whose connection failed.
    }

    private void onChanged(EndpointRegistry.Entry entry) {
        new ArrayList<>(connections).forEach(DispatcherConnection::answerIfChanged);
        loop.schedule(
                NOTIFICATION_DEADLINE_SECONDS,
                () -> {
                    if (context.registry.entries().contains(entry)) {
                        notifyAuditor(entry);
                    }
                });
    }

    private void notifyAuditor(EndpointRegistry.Entry entry) {
        context.auditor.onNotified(dispatcher, entry.worker().number, entry.state());
    }

    private String listJson(List<EndpointRegistry.Entry> entries, boolean isComplete) {
        List<String> listed = new ArrayList<>();
        for (EndpointRegistry.Entry entry : entries) {
            // A response that may not arrive counts as known only at the deadline. An entry that
            // permits new attempts counts at once, because that is in favor of the dispatcher.
            if (isReachable.getAsBoolean() || entry.state() == EndpointRegistry.State.READY) {
                notifyAuditor(entry);
            }
            if (!isComplete || entry.state() != EndpointRegistry.State.REMOVED) {
                listed.add(entryJson(entry));
            }
        }
        return DiscoveryJson.list(context.registry.version(), isComplete, listed);
    }

    private String entryJson(EndpointRegistry.Entry entry) {
        Scenario.WorkerGroup group = entry.worker().group;
        boolean isStartKnown = !Double.isNaN(entry.startedAt());
        return new DiscoveryJson.Endpoint(
                        entry.worker().name,
                        context.workerAddresses.apply(entry.worker().number),
                        group.zone(),
                        group.model(),
                        context.scenario.groups().indexOf(group),
                        stateName(entry.state()),
                        isStartKnown ? Math.round(entry.startedAt() * MILLIS_PER_SECOND) : 0)
                .json();
    }

    private static String stateName(EndpointRegistry.State state) {
        return switch (state) {
            case READY -> "ready";
            case DRAINING -> "draining";
            case REMOVED -> "gone";
        };
    }

    /**
     * One connection of the dispatcher, which carries one call at a time. A watch is held until the
     * list changes or its hold time ends.
     */
    private final class DispatcherConnection extends ServerConnection {
        private static final long NONE = -1;

        /**
         * List version of the caller of a held watch, who requests newer changes; NONE while no
         * watch is held.
         */
        private long heldVersion = NONE;

        private EventLoop.Timer holdTimeout;

        DispatcherConnection(EndPoint endPoint) {
            super(endPoint, StubDiscovery.this.loop);
        }

        @Override
        protected void onRequest(ClientRequest message) {
            Optional<DiscoveryWatch> watch = DiscoveryWatch.parse(message.target());
            context.calls.record(loop.now());
            if (context.registry.isDown()) {
                failOutage();
            } else if (message.target().equals("/v1/servers")) {
                respond(context.registry.entries(), true);
            } else if (watch.isPresent()) {
                heldVersion = watch.get().version();
                holdTimeout = loop.schedule(watch.get().holdSeconds(), this::answerHeldWatch);
                answerIfChanged();
            } else {
                out.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            }
        }

        private void answerIfChanged() {
            if (heldVersion >= 0 && context.registry.version() > heldVersion) {
                answerHeldWatch();
            }
        }

        private void answerHeldWatch() {
            if (heldVersion < 0) {
                return;
            }
            long version = heldVersion;
            respond(
                    context.registry.entries().stream()
                            .filter(entry -> entry.version() > version)
                            .toList(),
                    false);
        }

        private void respond(List<EndpointRegistry.Entry> entries, boolean isComplete) {
            heldVersion = NONE;
            if (holdTimeout != null) {
                holdTimeout.cancel();
            }
            String json = listJson(entries, isComplete);
            out.send(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                            + json.getBytes(StandardCharsets.UTF_8).length
                            + "\r\n\r\n"
                            + json);
        }

        private void failOutage() {
            heldVersion = NONE;
            out.send("HTTP/1.1 503 Down\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            out.close();
        }

        @Override
        protected void onClosed() {
            connections.remove(this);
            heldVersion = NONE;
            if (holdTimeout != null) {
                holdTimeout.cancel();
            }
        }
    }
}
