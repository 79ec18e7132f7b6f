package wheelroute.kit.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import wheelroute.kit.audit.Auditor;
import wheelroute.kit.audit.MetricsAuditor;
import wheelroute.kit.faults.LinkState;
import wheelroute.kit.faults.NetworkLink;
import wheelroute.kit.model.Clients;
import wheelroute.kit.model.ClusterModel;
import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.model.WorkerModel;
import wheelroute.kit.report.Recorder;
import wheelroute.kit.scenario.DaemonSettings;
import wheelroute.kit.scenario.Scenario;
import wheelroute.net.loop.EventLoop;

/**
 * All that a run of real processes consists of: stub workers and discovery, clients, links, the
 * dispatchers' processes and the auditors. Created and used on the event loop's thread.
 */
final class RunEnvironment {
    /** What loopback, a timer and a busy core may add to a time before a rule counts as broken. */
    static final double SLACK = 0.1;

    /** No message of a run is larger: bounds what a slow link may add to its delay. */
    private static final int MAX_MESSAGE_SIZE = 1000;

    final Scenario scenario;
    final EventLoop loop;
    final Auditor auditor;
    final MetricsAuditor metricsAuditor;
    final Recorder recorder;
    final ClusterModel cluster;
    final ClientTransport transport;
    final Clients clients;
    final NetworkLinks links;
    final Fleet fleet;
    final DiscoveryCallCounter discoveryCalls = new DiscoveryCallCounter();

    /** Done once each dispatcher has been ready. */
    final CompletableFuture<Void> allReady = new CompletableFuture<>();

    private final SeededRandom random;

    /**
     * Creates the stubs and links; no dispatcher is started yet.
     *
     * @param peering whether dispatchers know each other
     * @param onFailure gets the reason if a dispatcher cannot be run
     */
    RunEnvironment(
            ProcessRun.Options options, EventLoop loop, boolean peering, Consumer<String> onFailure)
            throws IOException {
        this.loop = loop;
        scenario = options.scenario();
        random = new SeededRandom(options.seed());
        EventLoopTimeline time = new EventLoopTimeline(loop);
        auditor = new Auditor(scenario, time, SLACK);
        metricsAuditor = new MetricsAuditor(time, scenario.clients().writePauseSeconds() > 0);
        recorder = new Recorder(scenario, time, options.seconds(), auditor, metricsAuditor);
        cluster = new ClusterModel(scenario, time, random, options.seconds(), recorder);
        transport = new ClientTransport(scenario.dispatcherCount());
        clients = new Clients(scenario, time, random, options.seconds(), transport, recorder);
        List<StubWorker> workers = new ArrayList<>();
        for (WorkerModel model : cluster.workers) {
            workers.add(new StubWorker(loop, model, auditor, anyPort()));
        }
        List<Scenario.WorkerGroup> groups =
                cluster.workers.stream().map(worker -> worker.group).toList();
        links = new NetworkLinks(loop, scenario, random, groups, this::onLinkChange);
        List<InetSocketAddress> discoveries = startDiscovery(workers);
        List<List<String>> peerAddresses = new ArrayList<>();
        for (int i = 0; i < scenario.dispatcherCount(); i++) {
            peerAddresses.add(peering ? links.toPeers(i, this::peerAddress) : List.of());
        }
        fleet =
                new Fleet(
                        loop,
                        scenario,
                        random,
                        DaemonSettings.settingsByPath(scenario, options.settings()),
                        options.jar(),
                        options.older(),
                        discoveries::get,
                        peerAddresses::get,
                        new FleetMonitor(this, random, onFailure));
    }

    private InetSocketAddress peerAddress(int dispatcher) {
        return fleet.peersOf(dispatcher);
    }

    /** A stub of discovery for each dispatcher, with the workers' addresses on its own links. */
    private List<InetSocketAddress> startDiscovery(List<StubWorker> workers) throws IOException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < scenario.dispatcherCount(); i++) {
            int dispatcher = i;
            List<InetSocketAddress> workerAddresses = new ArrayList<>();
            for (int j = 0; j < workers.size(); j++) {
                workerAddresses.add(links.toWorker(i, j, workers.get(j)));
            }
            StubDiscovery discovery =
                    new StubDiscovery(
                            loop,
                            i,
                            new StubDiscovery.Subject(
                                    cluster.registry,
                                    auditor,
                                    scenario,
                                    workerAddresses::get,
                                    discoveryCalls),
                            anyPort(),
                            () -> links.isOpen(NetworkLink.toDiscovery(dispatcher)));
            addresses.add(links.toDiscovery(i, discovery));
        }
        return addresses;
    }

    private static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    /** Tells the auditors what a change excuses, before it is made. */
    private void onLinkChange(NetworkLink link, LinkState state) {
        if (link.isToPeer()) {
            return;
        }
        boolean isOpen = state.equals(LinkState.OPEN);
        metricsAuditor.suspendChecks(link.dispatcher(), !isOpen);
        if (link.isToWorker()) {
            if (!isOpen) {
                metricsAuditor.onAttemptsLost(link.dispatcher());
            }
            double delay = state.maxDelay(MAX_MESSAGE_SIZE);
            auditor.setLinkDelay(link.dispatcher(), link.worker(), delay);
        } else if (link.worker() == NetworkLink.CLIENTS) {
            auditor.setClientsImpaired(link.dispatcher(), !isOpen);
            if (state.refuses()) {
                transport.onConnectionsBroken(link.dispatcher());
            }
        }
    }

    /** Starts the requests and the faults. */
    void start() {
        IdleConnectionFlood flood = new IdleConnectionFlood(loop, transport::address);
        discoveryCalls.reset();
        cluster.start(new FaultInjector(this, flood));
        recorder.start(cluster, clients);
        new AdminPoll(loop, fleet, metricsAuditor, scenario.dispatcherCount()).poll();
    }
}
