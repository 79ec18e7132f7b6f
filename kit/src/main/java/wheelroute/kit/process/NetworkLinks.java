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
import wheelroute.kit.scenario.Scenario;
import wheelroute.net.EventLoop;

/** The ways of a run. Where any can be harmed all of them lead through relays, else none does. */
final class NetworkLinks {
    /** Hears of each change before it is made. */
    interface Listener {
        void changes(NetworkLink way, LinkState passage);
    }

    private final EventLoop loop;
    private final SeededRandom chance;
    private final Listener hearer;
    private final boolean relayed;
    private final List<Scenario.WorkerGroup> groups;
    private final int dispatchers;
    private final Map<NetworkLink, Relay> relays = new HashMap<>();
    private final Map<NetworkLink, DatagramRelay> datagrams = new HashMap<>();
    private final Map<Integer, InetSocketAddress> clients = new HashMap<>();
    private final ActiveLinkFaults links = new ActiveLinkFaults(this::changed);
    private long pieces;

    NetworkLinks(
            EventLoop loop,
            Scenario scenario,
            SeededRandom chance,
            List<Scenario.WorkerGroup> groups,
            Listener hearer) {
        this.loop = loop;
        this.chance = chance;
        this.groups = groups;
        dispatchers = scenario.dispatchers();
        this.hearer = hearer;
        relayed =
                scenario.faults().stream()
                        .anyMatch(
                                f -> f.kind().isAboutWays() && f.ends() != Scenario.LinkKind.PEERS);
    }

    boolean areRelayed() {
        return relayed;
    }

    private double draw() {
        return chance.once(SeededRandom.Purpose.LINK, pieces++, 0);
    }

    /** Where this worker is reached by this dispatcher. */
    InetSocketAddress toWorker(int dispatcher, int worker, StubWorker far) throws IOException {
        if (!relayed) {
            return far.address();
        }
        NetworkLink way = new NetworkLink(dispatcher, worker);
        Relay relay = new Relay(loop, far::address, true, this::draw);
        relay.onNearClosed(far::nearClosed);
        relays.put(way, relay);
        return relay.address();
    }

    InetSocketAddress toList(int dispatcher, StubDiscovery far) throws IOException {
        if (!relayed) {
            return far.address();
        }
        Relay relay = new Relay(loop, far::address, true, this::draw);
        relays.put(NetworkLink.toList(dispatcher), relay);
        return relay.address();
    }

    /** Where clients reach this dispatcher, which takes them at its own address from now on. */
    InetSocketAddress toClients(int dispatcher, InetSocketAddress own) throws IOException {
        clients.put(dispatcher, own);
        if (!relayed) {
            return own;
        }
        NetworkLink way = NetworkLink.toClients(dispatcher);
        if (!relays.containsKey(way)) {
            relays.put(way, new Relay(loop, () -> clients.get(dispatcher), false, this::draw));
        }
        return relays.get(way).address();
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
                relay.pairedWith(back);
                back.pairedWith(relay);
            }
            book.add(
                    relay.address().getAddress().getHostAddress()
                            + ":"
                            + relay.address().getPort());
        }
        return book;
    }

    boolean isOpen(NetworkLink way) {
        return links.passage(way).equals(LinkState.OPEN);
    }

    void harm(Scenario.Fault fault, int dispatcher, int[] targets, boolean begins) {
        links.set(fault, begins, NetworkLink.of(fault, dispatcher, targets, dispatchers, groups));
    }

    private void changed(NetworkLink way, LinkState passage) {
        hearer.changes(way, passage);
        if (way.isToPeer()) {
            NetworkLink back =
                    NetworkLink.toPeer(/* dispatcher= */ way.peer(), /* peer= */ way.dispatcher());
            if (datagrams.containsKey(way)) {
                datagrams.get(way).set(passage, links.passage(back));
                datagrams.get(back).set(links.passage(back), passage);
            }
            return;
        }
        Relay relay = relays.get(way);
        // One that has never been up has no way to it yet.
        if (relay != null) {
            relay.set(passage);
        }
    }
}
