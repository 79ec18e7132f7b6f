package wheelroute.kit.process;

import java.io.IOException;
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
 * The parts of a run of real processes: stub workers and discovery, clients, links, the
 * dispatchers' processes and the auditors. Created and used on the event loop's thread.
 */
final class RunEnvironment {
    /** Delays of loopback, timers and a busy machine that no audit rule counts as a breach. */
    private static final double AUDIT_SLACK_SECONDS = 0.1;

    /** Largest message of a run; bounds the time that it takes on a link of limited bandwidth. */
    private static final int MAX_MESSAGE_BYTES = 1000;

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
     * @param peering whether dispatchers are members of one group
     * @param onFailure gets the reason if a dispatcher cannot be run
     */
    RunEnvironment(
            ProcessRun.Options options, EventLoop loop, boolean peering, Consumer<String> onFailure)
            throws IOException {
        this.loop = loop;
        scenario = options.scenario();
        random = new SeededRandom(options.seed());
        EventLoopTimeline time = new EventLoopTimeline(loop);
        auditor = new Auditor(scenario, time, AUDIT_SLACK_SECONDS);
        metricsAuditor = new MetricsAuditor(time, scenario.clients().writePauseSeconds() > 0);
        recorder = new Recorder(scenario, time, options.seconds(), auditor, metricsAuditor);
        cluster = new ClusterModel(scenario, time, random, options.seconds(), recorder);
        transport = new ClientTransport(scenario.dispatcherCount());
        clients = new Clients(scenario, time, random, options.seconds(), transport, recorder);
        List<StubWorker> workers = new ArrayList<>();
        for (WorkerModel model : cluster.workers) {
            workers.add(new StubWorker(loop, model, auditor, Loopback.anyPort()));
        }
        List<Scenario.WorkerGroup> groups =
                cluster.workers.stream().map(worker -> worker.group).toList();
        links = new NetworkLinks(loop, scenario, random, groups, this::onLinkChange);
        List<InetSocketAddress> discoveryAddresses = startDiscovery(workers);
        List<List<String>> peerAddresses = new ArrayList<>();
        for (int i = 0; i < scenario.dispatcherCount(); i++) {
            peerAddresses.add(peering ? links.toPeers(i, this::peerAddress) : List.of());
        }
        fleet =
                new Fleet(
                        loop,
                        new FleetSpec(
                                scenario,
                                random,
                                DaemonSettings.settingsByPath(scenario, options.settings()),
                                options.jar(),
                                options.older(),
                                discoveryAddresses::get,
                                peerAddresses::get),
                        new FleetMonitor(this, random, onFailure));
    }

    private InetSocketAddress peerAddress(int dispatcher) {
        return fleet.peerAddress(dispatcher);
    }

    /**
     * Starts a discovery for each dispatcher, with the workers' addresses on its own links.
     *
     * @return where each dispatcher reaches its discovery
     */
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
                            Loopback.anyPort(),
                            () -> links.isOpen(NetworkLink.toDiscovery(dispatcher)));
            addresses.add(links.toDiscovery(i, discovery));
        }
        return addresses;
    }

    /** Informs the auditors, before a link changes, of the effects that it excuses. */
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
            double delaySeconds = state.maxDelay(MAX_MESSAGE_BYTES);
            auditor.setLinkDelay(link.dispatcher(), link.worker(), delaySeconds);
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
