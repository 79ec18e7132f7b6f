package wheelroute.kit.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import java.util.function.Supplier;
import wheelroute.kit.faults.ActiveLinkFaults;
import wheelroute.kit.faults.DatagramRelay;
import wheelroute.kit.faults.LinkState;
import wheelroute.kit.faults.NetworkLink;
import wheelroute.kit.faults.Relay;
import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.scenario.LinkKind;
import wheelroute.kit.scenario.Scenario;
import wheelroute.net.loop.EventLoop;

/**
 * The links between the processes of a run. If the scenario contains faults of any stream link, all
 * stream links lead through relays, otherwise none of them does. Used on the event loop's thread.
 */
final class NetworkLinks {
    /** Listener for the states of links. */
    interface Listener {
        /** Called before a link changes to this state. */
        void onLinkChange(NetworkLink link, LinkState state);
    }

    private final EventLoop loop;
    private final SeededRandom random;
    private final Listener listener;
    private final boolean areRelayed;
    private final List<Scenario.WorkerGroup> groups;
    private final int dispatchers;
    private final Map<NetworkLink, Relay> relays = new HashMap<>();
    private final Map<NetworkLink, DatagramRelay> datagramRelays = new HashMap<>();

    /**
     * Address on which each dispatcher listens for clients, by dispatcher number; changes when a
     * dispatcher is restarted.
     */
    private final Map<Integer, InetSocketAddress> clientAddresses = new HashMap<>();

    private final ActiveLinkFaults faults = new ActiveLinkFaults(this::onLinkChanged);
    private long draws;

    /**
     * Creates links without faults.
     *
     * @param groups group of each worker, by worker number
     */
    NetworkLinks(
            EventLoop loop,
            Scenario scenario,
            SeededRandom random,
            List<Scenario.WorkerGroup> groups,
            Listener listener) {
        this.loop = loop;
        this.random = random;
        this.groups = groups;
        this.listener = listener;
        dispatchers = scenario.dispatcherCount();
        areRelayed = scenario.faults().stream().anyMatch(NetworkLinks::needsStreamRelay);
    }

    private static boolean needsStreamRelay(Scenario.Fault fault) {
        return fault.kind().affectsLinks() && fault.affectedLinks() != LinkKind.PEERS;
    }

    /** Whether the stream links lead through relays. */
    boolean areRelayed() {
        return areRelayed;
    }

    private double draw() {
        return random.uniform(SeededRandom.Purpose.LINK, draws++, 0);
    }

    /**
     * Creates the link from a dispatcher to a worker and returns the address at which the
     * dispatcher reaches the worker.
     */
    InetSocketAddress linkToWorker(int dispatcher, int workerNumber, StubWorker worker)
            throws IOException {
        if (!areRelayed) {
            return worker.address();
        }
        NetworkLink link = new NetworkLink(dispatcher, workerNumber);
        Relay relay = addRelay(link, worker::address, true);
        relay.onNearClosed(worker::onDispatcherClosed);
        return relay.address();
    }

    /**
     * Creates the link from a dispatcher to its discovery and returns the address at which the
     * dispatcher reaches it.
     */
    InetSocketAddress linkToDiscovery(int dispatcher, StubDiscovery discovery) throws IOException {
        if (!areRelayed) {
            return discovery.address();
        }
        NetworkLink link = NetworkLink.toDiscovery(dispatcher);
        return addRelay(link, discovery::address, true).address();
    }

    /**
     * Creates or redirects the link from the clients to a dispatcher and returns the address at
     * which clients reach it.
     *
     * @param listening address on which the dispatcher listens from now on
     */
    InetSocketAddress linkToClients(int dispatcher, InetSocketAddress listening)
            throws IOException {
        clientAddresses.put(dispatcher, listening);
        if (!areRelayed) {
            return listening;
        }
        NetworkLink link = NetworkLink.toClients(dispatcher);
        if (!relays.containsKey(link)) {
            addRelay(link, () -> clientAddresses.get(dispatcher), false);
        }
        return relays.get(link).address();
    }

    private Relay addRelay(
            NetworkLink link, Supplier<InetSocketAddress> target, boolean isDispatcherNear)
            throws IOException {
        Relay relay = new Relay(loop, target, isDispatcherNear, this::draw);
        relays.put(link, relay);
        return relay;
    }

    /**
     * Creates a link from a dispatcher to each dispatcher of the run and returns the addresses at
     * which it reaches them, by dispatcher number.
     *
     * @param peerAddresses gossip address of each dispatcher, by dispatcher number; null while the
     *     dispatcher is not running
     */
    List<String> linkToPeers(int dispatcher, IntFunction<InetSocketAddress> peerAddresses)
            throws IOException {
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < dispatchers; i++) {
            int peer = i;
            DatagramRelay relay =
                    new DatagramRelay(loop, () -> peerAddresses.apply(peer), this::draw);
            datagramRelays.put(NetworkLink.toPeer(dispatcher, peer), relay);
            DatagramRelay reverse = datagramRelays.get(NetworkLink.toPeer(peer, dispatcher));
            if (reverse != null) {
                relay.pairWith(reverse);
                reverse.pairWith(relay);
            }
            InetSocketAddress address = relay.address();
            addresses.add(address.getAddress().getHostAddress() + ":" + address.getPort());
        }
        return addresses;
    }

    /** Whether a link has no fault. */
    boolean isOpen(NetworkLink link) {
        return faults.state(link).equals(LinkState.OPEN);
    }

    /** Begins or ends the effects of a fault on the links of one dispatcher. */
    void setFault(Scenario.Fault fault, int dispatcher, int[] targets, boolean begins) {
        faults.set(fault, begins, NetworkLink.of(fault, dispatcher, targets, dispatchers, groups));
    }

    private void onLinkChanged(NetworkLink link, LinkState state) {
        listener.onLinkChange(link, state);
        if (link.isToPeer()) {
            applyToPeer(link, state);
            return;
        }
        Relay relay = relays.get(link);
        // The link from clients to a dispatcher does not exist before the dispatcher is ready.
        if (relay != null) {
            relay.apply(state);
        }
    }

    private void applyToPeer(NetworkLink link, LinkState state) {
        NetworkLink reverse =
                NetworkLink.toPeer(/* dispatcher= */ link.peer(), /* peer= */ link.dispatcher());
        if (datagramRelays.containsKey(link)) {
            datagramRelays.get(link).apply(state, faults.state(reverse));
            datagramRelays.get(reverse).apply(faults.state(reverse), state);
        }
    }
}
