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
 * Discovery as one dispatcher sees it: serves the model's registry by the discovery protocol. Used
 * on the event loop's thread.
 */
final class StubDiscovery implements EventLoop.ChannelHandler {
    /**
     * A change counts as known to the dispatcher after this time even if it was not sent: a missed
     * watch is not an excuse for using an old list.
     */
    private static final double NOTIFICATION_DEADLINE_SECONDS = 6;

    private final EventLoop loop;
    private final int dispatcher;
    private final Subject subject;
    private final BooleanSupplier isReachable;
    private final Set<DispatcherConnection> connections = new HashSet<>();
    private final InetSocketAddress address;

    /**
     * What is common to the stubs of all dispatchers.
     *
     * @param workerAddresses as this dispatcher reaches them, by worker number
     * @param calls counts the calls of all dispatchers
     */
    record Subject(
            EndpointRegistry registry,
            Auditor auditor,
            Scenario scenario,
            IntFunction<InetSocketAddress> workerAddresses,
            DiscoveryCallCounter calls) {}

    /**
     * Starts to listen for one dispatcher.
     *
     * @param wanted the address to listen on
     * @param isReachable false while responses may not arrive
     */
    StubDiscovery(
            EventLoop loop,
            int dispatcher,
            Subject subject,
            InetSocketAddress wanted,
            BooleanSupplier isReachable)
            throws IOException {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.subject = subject;
        this.isReachable = isReachable;
        ServerSocketChannel server = loop.listen(wanted, this);
        address = Loopback.address(server.socket().getLocalPort());
        subject.registry.watch(this::onChanged);
        subject.registry.onOutage(
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
        // The dispatcher retries.
    }

    private void onChanged(EndpointRegistry.Entry entry) {
        new ArrayList<>(connections).forEach(DispatcherConnection::answerIfChanged);
        loop.schedule(
                NOTIFICATION_DEADLINE_SECONDS,
                () -> {
                    if (subject.registry.entries().contains(entry)) {
                        notifyAuditor(entry);
                    }
                });
    }

    private void notifyAuditor(EndpointRegistry.Entry entry) {
        subject.auditor.onNotified(dispatcher, entry.worker().number, entry.state());
    }

    private String listJson(List<EndpointRegistry.Entry> entries, boolean isComplete) {
        List<String> listed = new ArrayList<>();
        for (EndpointRegistry.Entry entry : entries) {
            // A response that may not arrive counts only at the deadline, unless it is in the
            // dispatcher's favor.
            if (isReachable.getAsBoolean() || entry.state() == EndpointRegistry.State.READY) {
                notifyAuditor(entry);
            }
            if (!isComplete || entry.state() != EndpointRegistry.State.REMOVED) {
                listed.add(entryJson(entry));
            }
        }
        return DiscoveryJson.list(subject.registry.version(), isComplete, listed);
    }

    private String entryJson(EndpointRegistry.Entry entry) {
        Scenario.WorkerGroup group = entry.worker().group;
        boolean isStartKnown = !Double.isNaN(entry.startedAt());
        return new DiscoveryJson.Endpoint(
                        entry.worker().name,
                        subject.workerAddresses.apply(entry.worker().number),
                        group.zone(),
                        group.model(),
                        subject.scenario.groups().indexOf(group),
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

    /** One connection of the dispatcher: one call at a time; a watch is held until a change. */
    private final class DispatcherConnection extends ServerConnection {
        private static final long NONE = -1;

        /** The version after which a held watch wants changes; NONE while no watch is held. */
        private long heldVersion = NONE;

        private EventLoop.Timer holdTimeout;

        DispatcherConnection(EndPoint endPoint) {
            super(endPoint, StubDiscovery.this.loop);
        }

        @Override
        protected void onRequest(ClientRequest message) {
            Optional<DiscoveryWatch> watch = DiscoveryWatch.parse(message.target());
            subject.calls.record(loop.now());
            if (subject.registry.isDown()) {
                failOutage();
            } else if (message.target().equals("/v1/servers")) {
                respond(subject.registry.entries(), true);
            } else if (watch.isPresent()) {
                heldVersion = watch.get().version();
                holdTimeout = loop.schedule(watch.get().holdSeconds(), this::answerHeldWatch);
                answerIfChanged();
            } else {
                out.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            }
        }

        private void answerIfChanged() {
            if (heldVersion >= 0 && subject.registry.version() > heldVersion) {
                answerHeldWatch();
            }
        }

        private void answerHeldWatch() {
            if (heldVersion < 0) {
                return;
            }
            long version = heldVersion;
            respond(
                    subject.registry.entries().stream()
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
