package wheelroute.kit.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.kit.audit.Auditor;
import wheelroute.kit.model.EndpointRegistry;
import wheelroute.kit.scenario.Scenario;
import wheelroute.net.clients.ClientRequest;
import wheelroute.net.loop.EventLoop;

/** Discovery as one dispatcher sees it: the registry behind the protocol's list and its watches. */
final class StubDiscovery implements EventLoop.ChannelHandler {
    private static final Pattern WATCH =
            Pattern.compile("/v1/servers\\?from=(\\d{1,18})&hold_ms=(\\d{1,6})");
    private static final double MILLIS = 1e3;

    /**
     * What is not heard by then counts as told all the same: a watch that was missed is no excuse.
     */
    private static final double TOLD_AT_LAST = 6;

    private final EventLoop loop;
    private final int dispatcher;
    private final EndpointRegistry registry;
    private final Auditor auditor;
    private final Scenario scenario;
    private final IntFunction<InetSocketAddress> addresses;
    private final Set<DispatcherConnection> lines = new HashSet<>();
    private final InetSocketAddress address;
    private final DiscoveryCallCounter calls;

    /** False while what is written here need not arrive. */
    private final BooleanSupplier heard;

    /**
     * What all dispatchers are told.
     *
     * @param addresses where each worker is reached, by its number
     */
    record Subject(
            EndpointRegistry registry,
            Auditor auditor,
            Scenario scenario,
            IntFunction<InetSocketAddress> addresses,
            DiscoveryCallCounter calls) {}

    /**
     * Listens for one dispatcher.
     *
     * @param wanted the address to listen at
     * @param heard false while what is written here need not arrive
     */
    StubDiscovery(
            EventLoop loop,
            int dispatcher,
            Subject subject,
            InetSocketAddress wanted,
            BooleanSupplier heard)
            throws IOException {
        calls = subject.calls;
        this.heard = heard;
        this.loop = loop;
        this.dispatcher = dispatcher;
        registry = subject.registry;
        auditor = subject.auditor;
        scenario = subject.scenario;
        addresses = subject.addresses;
        ServerSocketChannel server = loop.listen(wanted, this);
        address =
                new InetSocketAddress(
                        InetAddress.getLoopbackAddress(), server.socket().getLocalPort());
        registry.watch(this::changed);
        registry.onOutage(() -> new ArrayList<>(lines).forEach(DispatcherConnection::outage));
    }

    InetSocketAddress address() {
        return address;
    }

    @Override
    public Connection onOpened(EndPoint endPoint) {
        DispatcherConnection line = new DispatcherConnection(endPoint);
        lines.add(line);
        return line;
    }

    @Override
    public void onFailed(Throwable cause) {
        // The caller comes again.
    }

    private void changed(EndpointRegistry.Entry entry) {
        new ArrayList<>(lines).forEach(DispatcherConnection::changed);
        loop.schedule(
                TOLD_AT_LAST,
                () -> {
                    if (registry.entries().contains(entry)) {
                        auditor.onNotified(dispatcher, entry.worker().number, entry.state());
                    }
                });
    }

    private String json(List<EndpointRegistry.Entry> entries, boolean whole) {
        List<String> listed = new ArrayList<>();
        for (EndpointRegistry.Entry entry : entries) {
            // What need not arrive counts as told only at last; that one is back can only be in its
            // favour.
            if (heard.getAsBoolean() || entry.state() == EndpointRegistry.State.READY) {
                auditor.onNotified(dispatcher, entry.worker().number, entry.state());
            }
            if (!whole || entry.state() != EndpointRegistry.State.REMOVED) {
                listed.add(json(entry));
            }
        }
        return String.format(
                Locale.ROOT,
                "{\"version\":%d,\"full\":%b,\"servers\":[%s]}",
                registry.version(),
                whole,
                String.join(",", listed));
    }

    private String json(EndpointRegistry.Entry entry) {
        InetSocketAddress at = addresses.apply(entry.worker().number);
        return String.format(
                Locale.ROOT,
                "{\"id\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"%s\",\"kind\":\"%s\",\"cell\":%d,"
                        + "\"state\":\"%s\",\"weight\":1.0,\"started_ms\":%d}",
                entry.worker().name,
                at.getAddress().getHostAddress(),
                at.getPort(),
                entry.worker().group.zone(),
                entry.worker().group.model(),
                scenario.groups().indexOf(entry.worker().group),
                name(entry.state()),
                Double.isNaN(entry.startedAt()) ? 0 : Math.round(entry.startedAt() * MILLIS));
    }

    private static String name(EndpointRegistry.State state) {
        return switch (state) {
            case READY -> "ready";
            case DRAINING -> "draining";
            case REMOVED -> "gone";
        };
    }

    /** One call after the other; a watch is held. */
    private final class DispatcherConnection extends ServerConnection {
        /** The version it waits to see passed; -1 when it waits for nothing. */
        private long heldFrom = -1;

        private EventLoop.Timer hold;

        DispatcherConnection(EndPoint endPoint) {
            super(endPoint, StubDiscovery.this.loop);
        }

        @Override
        protected void onRequest(ClientRequest message) {
            Matcher watch = WATCH.matcher(message.target());
            calls.record(loop.now());
            if (registry.isDown()) {
                outage();
            } else if (message.target().equals("/v1/servers")) {
                answer(registry.entries(), true);
            } else if (watch.matches()) {
                heldFrom = Long.parseLong(watch.group(1));
                hold =
                        loop.schedule(
                                Double.parseDouble(watch.group(2)) / MILLIS, this::answerChanges);
                changed();
            } else {
                out.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            }
        }

        private void changed() {
            if (heldFrom >= 0 && registry.version() > heldFrom) {
                answerChanges();
            }
        }

        private void answerChanges() {
            if (heldFrom < 0) {
                return;
            }
            long from = heldFrom;
            answer(registry.entries().stream().filter(e -> e.version() > from).toList(), false);
        }

        private void answer(List<EndpointRegistry.Entry> entries, boolean whole) {
            heldFrom = -1;
            if (hold != null) {
                hold.cancel();
            }
            String json = json(entries, whole);
            out.send(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                            + json.getBytes(StandardCharsets.UTF_8).length
                            + "\r\n\r\n"
                            + json);
        }

        private void outage() {
            heldFrom = -1;
            out.send("HTTP/1.1 503 Down\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            out.close();
        }

        @Override
        protected void onClosed() {
            lines.remove(this);
            heldFrom = -1;
            if (hold != null) {
                hold.cancel();
            }
        }
    }
}
