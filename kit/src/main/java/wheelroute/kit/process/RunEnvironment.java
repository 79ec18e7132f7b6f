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
 * The components of a run of real processes, namely stub workers and discovery, clients, links, the
 * dispatchers' processes and the auditors. Created and used on the event loop's thread.
 */
final class RunEnvironment {
    /** Tolerance of the audit rules for delays of loopback, timers and a busy machine. */
    private static final double AUDIT_SLACK_SECONDS = 0.1;

    /**
     * Size of the largest message of a run, which bounds the transfer time of a message on a link
     * of limited bandwidth.
     */
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

    /** Completed once each dispatcher has been ready at least once. */
    final CompletableFuture<Void> allReady = new CompletableFuture<>();

    private final SeededRandom random;

    /**
     * Creates the stubs and links; no dispatcher is started yet.
     *
     * @param peering whether the dispatchers are members of one cluster
     * @param onFailure receives the reason if the run cannot continue
     */
    RunEnvironment(
            ProcessRun.Options options, EventLoop loop, boolean peering, Consumer<String> onFailure)
            throws IOException {
        this.loop = loop;
        scenario = options.scenario();
        random = new SeededRandom(options.seed());
        EventLoopTimeline timeline = new EventLoopTimeline(loop);
        auditor = new Auditor(scenario, timeline, AUDIT_SLACK_SECONDS);
        metricsAuditor = new MetricsAuditor(timeline, scenario.clients().writePauseSeconds() > 0);
        recorder = new Recorder(scenario, timeline, options.seconds(), auditor, metricsAuditor);
        cluster = new ClusterModel(scenario, timeline, random, options.seconds(), recorder);
        transport = new ClientTransport(scenario.dispatcherCount());
        clients = new Clients(scenario, timeline, random, options.seconds(), transport, recorder);
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
            peerAddresses.add(peering ? links.linkToPeers(i, this::peerAddress) : List.of());
        }
        fleet =
                new Fleet(
                        loop,
                        new FleetSpec(
                                scenario,
                                random,
                                DaemonSettings.settingsByPath(scenario, options.settings()),
                                options.jar(),
                                options.olderJar(),
                                discoveryAddresses::get,
                                peerAddresses::get),
                        new FleetMonitor(this, random, onFailure));
    }

    private InetSocketAddress peerAddress(int dispatcher) {
        return fleet.peerAddress(dispatcher);
    }

    /**
     * Starts a stub discovery for each dispatcher, which lists the workers by their addresses on
     * the links of this dispatcher.
     *
     * @return address at which each dispatcher reaches its discovery, by dispatcher number
     */
    private List<InetSocketAddress> startDiscovery(List<StubWorker> workers) throws IOException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < scenario.dispatcherCount(); i++) {
            int dispatcher = i;
            List<InetSocketAddress> workerAddresses = new ArrayList<>();
            for (int j = 0; j < workers.size(); j++) {
                workerAddresses.add(links.linkToWorker(i, j, workers.get(j)));
            }
            StubDiscovery discovery =
                    new StubDiscovery(
                            loop,
                            i,
                            new StubDiscovery.RunContext(
                                    cluster.registry,
                                    auditor,
                                    scenario,
                                    workerAddresses::get,
                                    discoveryCalls),
                            Loopback.anyPort(),
                            () -> links.isOpen(NetworkLink.toDiscovery(dispatcher)));
            addresses.add(links.linkToDiscovery(i, discovery));
        }
        return addresses;
    }

    /**
     * Informs the auditors of a change of a link before it takes effect, so that they tolerate its
     * consequences.
     */
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
            double delaySeconds = state.maxExtraDelaySeconds(MAX_MESSAGE_BYTES);
            auditor.setLinkDelay(link.dispatcher(), link.remote(), delaySeconds);
        } else if (link.remote() == NetworkLink.CLIENTS) {
            auditor.setClientsImpaired(link.dispatcher(), !isOpen);
            if (state.refuses()) {
                transport.onConnectionsBroken(link.dispatcher());
            }
        }
    }

    /**
     * Starts the requests, the faults and the polling of metrics; must be called once all
     * dispatchers are ready.
     */
    void start() {
        IdleConnectionFlood flood = new IdleConnectionFlood(loop, transport::address);
        discoveryCalls.reset();
        cluster.start(new FaultInjector(this, flood));
        recorder.start(cluster, clients);
        new AdminPoll(loop, fleet, metricsAuditor, scenario.dispatcherCount()).poll();
    }
}
