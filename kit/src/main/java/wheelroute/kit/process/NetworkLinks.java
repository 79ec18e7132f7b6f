package wheelroute.kit.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import wheelroute.kit.faults.ActiveLinkFaults;
import wheelroute.kit.faults.DatagramRelay;
import wheelroute.kit.faults.LinkState;
import wheelroute.kit.faults.NetworkLink;
import wheelroute.kit.faults.Relay;
import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.scenario.LinkKind;
import wheelroute.kit.scenario.Scenario;
import wheelroute.net.loop.EventLoop;

/** The ways of a run. Where any can be harmed all of them lead through relays, else none does. */
final class NetworkLinks {
    /** Hears of each change before it is made. */
    interface Listener {
        void onLinkChange(NetworkLink link, LinkState state);
    }

    private final EventLoop loop;
    private final SeededRandom random;
    private final Listener listener;
    private final boolean relayed;
    private final List<Scenario.WorkerGroup> groups;
    private final int dispatchers;
    private final Map<NetworkLink, Relay> relays = new HashMap<>();
    private final Map<NetworkLink, DatagramRelay> datagrams = new HashMap<>();
    private final Map<Integer, InetSocketAddress> clients = new HashMap<>();
    private final ActiveLinkFaults links = new ActiveLinkFaults(this::onLinkChanged);
    private long pieces;

    NetworkLinks(
            EventLoop loop,
            Scenario scenario,
            SeededRandom random,
            List<Scenario.WorkerGroup> groups,
            Listener listener) {
        this.loop = loop;
        this.random = random;
        this.groups = groups;
        dispatchers = scenario.dispatcherCount();
        this.listener = listener;
        relayed =
                scenario.faults().stream()
                        .anyMatch(
                                f ->
                                        f.kind().affectsLinks()
                                                && f.affectedLinks() != LinkKind.PEERS);
    }

    boolean areRelayed() {
        return relayed;
    }

    private double draw() {
        return random.uniform(SeededRandom.Purpose.LINK, pieces++, 0);
    }

    /** Where this worker is reached by this dispatcher. */
    InetSocketAddress toWorker(int dispatcher, int worker, StubWorker far) throws IOException {
        if (!relayed) {
            return far.address();
        }
        NetworkLink link = new NetworkLink(dispatcher, worker);
        Relay relay = new Relay(loop, far::address, true, this::draw);
        relay.onNearClosed(far::nearClosed);
        relays.put(link, relay);
        return relay.address();
    }

    InetSocketAddress toDiscovery(int dispatcher, StubDiscovery far) throws IOException {
        if (!relayed) {
            return far.address();
        }
        Relay relay = new Relay(loop, far::address, true, this::draw);
        relays.put(NetworkLink.toDiscovery(dispatcher), relay);
        return relay.address();
    }

    /** Where clients reach this dispatcher, which takes them at its own address from now on. */
    InetSocketAddress toClients(int dispatcher, InetSocketAddress own) throws IOException {
        clients.put(dispatcher, own);
        if (!relayed) {
            return own;
        }
        NetworkLink link = NetworkLink.toClients(dispatcher);
        if (!relays.containsKey(link)) {
            relays.put(link, new Relay(loop, () -> clients.get(dispatcher), false, this::draw));
        }
        return relays.get(link).address();
    }

    /** The addresses of all dispatchers as this one knows them: each is a way of its own. */
    List<String> toPeers(int dispatcher, IntFunction<InetSocketAddress> far) throws IOException {
        List<String> book = new ArrayList<>();
        for (int i = 0; i < dispatchers; i++) {
            int peer = i;
            DatagramRelay relay = new DatagramRelay(loop, () -> far.apply(peer), this::draw);
            datagrams.put(NetworkLink.toPeer(dispatcher, peer), relay);
            DatagramRelay back = datagrams.get(NetworkLink.toPeer(peer, dispatcher));
            if (back != null) {
                relay.pairWith(back);
                back.pairWith(relay);
            }
            book.add(
                    relay.address().getAddress().getHostAddress()
                            + ":"
                            + relay.address().getPort());
        }
        return book;
    }

    boolean isOpen(NetworkLink link) {
        return links.state(link).equals(LinkState.OPEN);
    }

    void setFault(Scenario.Fault fault, int dispatcher, int[] targets, boolean begins) {
        links.set(fault, begins, NetworkLink.of(fault, dispatcher, targets, dispatchers, groups));
    }

    private void onLinkChanged(NetworkLink link, LinkState state) {
        listener.onLinkChange(link, state);
        if (link.isToPeer()) {
            NetworkLink back =
                    NetworkLink.toPeer(
                            /* dispatcher= */ link.peer(), /* peer= */ link.dispatcher());
            if (datagrams.containsKey(link)) {
                datagrams.get(link).apply(state, links.state(back));
                datagrams.get(back).apply(links.state(back), state);
            }
            return;
        }
        Relay relay = relays.get(link);
        // One that has never been up has no way to it yet.
        if (relay != null) {
            relay.apply(state);
        }
    }
}
