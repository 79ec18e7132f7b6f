package wheelroute.kit.simulation;

import java.util.HashMap;
import java.util.Map;
import wheelroute.kit.faults.LinkState;
import wheelroute.kit.faults.NetworkLink;
import wheelroute.kit.model.ClusterModel;
import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.scenario.Scenario;

/** The links of one simulated dispatcher, with the delays of messages on them. */
final class SimulatedNetwork {
    private final int dispatcher;
    private final ClusterModel cluster;
    private final Map<NetworkLink, SimulatedLink> links = new HashMap<>();
    private long drawCount;

    SimulatedNetwork(int dispatcher, ClusterModel cluster) {
        this.dispatcher = dispatcher;
        this.cluster = cluster;
    }

    SimulatedLink link(NetworkLink link) {
        return links.computeIfAbsent(link, key -> new SimulatedLink(cluster.timeline));
    }

    SimulatedLink toClients() {
        return link(NetworkLink.toClients(dispatcher));
    }

    SimulatedLink toDiscovery() {
        return link(NetworkLink.toDiscovery(dispatcher));
    }

    SimulatedLink toWorker(int worker) {
        return link(new NetworkLink(dispatcher, worker));
    }

    /** Delivers a message over a link without faults. */
    void transmit(Runnable arrival) {
        transmit(LinkState.OPEN, arrival);
    }

    /**
     * Delivers a message after the delays of the network and the link. Never delivers a message
     * before this method returns, so no event reaches a strategy while it handles another one.
     */
    void transmit(LinkState state, Runnable arrival) {
        Scenario.Network network = cluster.scenario.network();
        double delaySeconds = network.delaySeconds();
        if (network.jitterSeconds() > 0) {
            delaySeconds += network.jitterSeconds() * draw(SeededRandom.Purpose.NETWORK);
        }
        if (!state.equals(LinkState.OPEN)) {
            delaySeconds += state.drawExtraDelaySeconds(() -> draw(SeededRandom.Purpose.LINK));
        }
        cluster.timeline.schedule(delaySeconds, arrival);
    }

    private double draw(SeededRandom.Purpose purpose) {
        return cluster.random.uniform(purpose, dispatcher, drawCount++);
    }
}
