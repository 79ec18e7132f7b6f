package wheelroute.kit.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import wheelroute.decision.Endpoint;
import wheelroute.decision.Ids;
import wheelroute.kit.audit.Auditor;
import wheelroute.kit.faults.LinkState;
import wheelroute.kit.model.ClusterModel;
import wheelroute.kit.model.EndpointRegistry;
import wheelroute.kit.model.WorkerModel;

/** A simulated dispatcher's watch of the endpoint list, with its failures and timeouts. */
final class SimulatedDiscoveryWatch {
    /** Timeout of a watch without a response: its hold time and another 1.5 s. */
    private static final double WATCH_TIMEOUT_SECONDS = 6.5;

    /** Timeout of a call for the complete list, to which discovery responds at once. */
    private static final double CALL_TIMEOUT_SECONDS = 1.5;

    private final int number;
    private final SimulatedDispatcher dispatcher;
    private final ClusterModel cluster;
    private final SimulatedNetwork network;
    private final SimulatedProcess process;
    private final Auditor auditor;
    private final Consumer<EndpointRegistry.Entry> watcher = this::onEndpointChanged;
    private boolean isWatching;

    SimulatedDiscoveryWatch(
            int number,
            SimulatedDispatcher dispatcher,
            ClusterModel cluster,
            SimulatedNetwork network,
            SimulatedProcess process,
            Auditor auditor) {
        this.number = number;
        this.dispatcher = dispatcher;
        this.cluster = cluster;
        this.network = network;
        this.process = process;
        this.auditor = auditor;
        cluster.registry.onOutage(this::onOutage);
    }

    /** Calls discovery. The strategy gets the complete list and then its changes, or a failure. */
    void start() {
        LinkState state = network.toDiscovery().state();
        if (cluster.registry.isDown() || state.refuses()) {
            failAfter(0);
        } else if (!state.outbound() || !state.inbound()) {
            failAfter(CALL_TIMEOUT_SECONDS);
        } else if (!isWatching) {
            isWatching = true;
            cluster.registry.watch(watcher);
            send(cluster.registry.entries(), true);
        }
    }

    /** Ends the watch without reporting a failure to the strategy. */
    void stop() {
        cluster.registry.unwatch(watcher);
        isWatching = false;
    }

    /** Handles a change of the state of the link to discovery, after it was applied. */
    void onLinkChanged(LinkState before, LinkState state) {
        boolean wasPassing = before.outbound() && before.inbound();
        if (state.refuses()) {
            fail();
        } else if (wasPassing && !(state.outbound() && state.inbound())) {
            process.schedule(
                    WATCH_TIMEOUT_SECONDS,
                    () -> {
                        LinkState now = network.toDiscovery().state();
                        if (!now.inbound() || !now.outbound()) {
                            fail();
                        }
                    });
        }
    }

    private void onEndpointChanged(EndpointRegistry.Entry entry) {
        send(List.of(entry), false);
    }

    private void onOutage() {
        if (network.toDiscovery().state().inbound()) {
            fail();
        }
    }

    private void fail() {
        if (isWatching) {
            stop();
            failAfter(0);
        }
    }

    private void failAfter(double delaySeconds) {
        int callIncarnation = process.incarnation();
        cluster.timeline.schedule(
                delaySeconds,
                () ->
                        network.transmit(
                                () -> {
                                    if (callIncarnation == process.incarnation()) {
                                        process.receive(dispatcher::onEndpointsFailed);
                                    }
                                }));
    }

    private void send(List<EndpointRegistry.Entry> entries, boolean isComplete) {
        int targetIncarnation = process.incarnation();
        SimulatedLink link = network.toDiscovery();
        Runnable arrival =
                () -> process.receive(() -> receive(entries, isComplete, targetIncarnation));
        network.transmit(
                link.state(),
                () ->
                        link.sendInbound(
                                arrival,
                                () -> targetIncarnation == process.incarnation() && isWatching));
    }

    private void receive(
            List<EndpointRegistry.Entry> entries, boolean isComplete, int targetIncarnation) {
        if (targetIncarnation != process.incarnation()) {
            return;
        }
        List<Endpoint> endpoints = new ArrayList<>();
        for (EndpointRegistry.Entry entry : entries) {
            auditor.onNotified(number, entry.worker().number, entry.state());
            if (!isComplete || entry.state() != EndpointRegistry.State.REMOVED) {
                endpoints.add(toEndpoint(entry));
            }
        }
        dispatcher.onEndpoints(endpoints, isComplete);
    }

    private Endpoint toEndpoint(EndpointRegistry.Entry entry) {
        WorkerModel worker = entry.worker();
        return new Endpoint(
                new Ids.Worker(worker.number),
                new Ids.Model(worker.group.model()),
                1,
                new Ids.Zone(worker.group.zone()),
                entry.startedAt(),
                new Ids.Cell(cluster.scenario.groups().indexOf(worker.group)),
                switch (entry.state()) {
                    case READY -> Endpoint.State.READY;
                    case DRAINING -> Endpoint.State.DRAINING;
                    case REMOVED -> Endpoint.State.REMOVED;
                });
    }
}
