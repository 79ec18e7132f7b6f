package wheelroute.kit.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wheelroute.decision.ActionHandler;
import wheelroute.decision.Endpoint;
import wheelroute.decision.Ids;
import wheelroute.decision.Settings;
import wheelroute.kit.audit.Auditor;
import wheelroute.kit.faults.LinkState;
import wheelroute.kit.faults.NetworkLink;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.Clients;
import wheelroute.kit.model.ClusterModel;
import wheelroute.kit.model.FinalResponse;
import wheelroute.kit.model.WorkerModel;
import wheelroute.kit.strategy.Strategy;

/**
 * A dispatcher without sockets, which does what the daemon does around its policy. Messages pass
 * over {@link SimulatedLink}s. Events have the same order as in the daemon: a client gets its
 * response before the strategy learns that the attempt has ended.
 */
final class SimulatedDispatcher implements ActionHandler {
    /** Requests that are still pending this long after SIGTERM fail. */
    private static final double DRAIN_TIMEOUT_SECONDS = 3.5;

    /** How long a cancellation is remembered, since a pause may delay the response as long. */
    private static final double CANCELLATION_RETENTION_SECONDS = 60;

    private final int number;
    private final ClusterModel cluster;
    private final Settings settings;
    private final Strategy.Factory strategyFactory;
    private final Auditor auditor;
    private final SimulatedProcess process;
    private final SimulatedNetwork network;
    private final SimulatedDiscoveryWatch discoveryWatch;

    /** Events that wait while the strategy handles another one. */
    private final Deque<Runnable> eventQueue = new ArrayDeque<>();

    private final Map<Ids.Request, SimulatedRequest> pending = new HashMap<>();

    /** Client attempts that have arrived but are not read yet, by key. */
    private final Map<Long, ClientAttempt> unread = new HashMap<>();

    /** Keys of client attempts that their clients have cancelled. */
    private final Set<Long> cancelled = new HashSet<>();

    private Clients clients;
    private Strategy strategy;
    private boolean isHandlingEvent;
    private boolean isListening;

    SimulatedDispatcher(
            int number,
            ClusterModel cluster,
            Settings settings,
            Strategy.Factory factory,
            Auditor auditor) {
        this.number = number;
        this.cluster = cluster;
        this.settings = settings;
        this.strategyFactory = factory;
        this.auditor = auditor;
        process = new SimulatedProcess(cluster.timeline);
        network = new SimulatedNetwork(number, cluster);
        discoveryWatch =
                new SimulatedDiscoveryWatch(number, this, cluster, network, process, auditor);
    }

    /** Sets the receiver of responses and connection failures; called once, before the start. */
    void setClients(Clients newClients) {
        clients = newClients;
    }

    boolean isListening() {
        return isListening;
    }

    SimulatedProcess process() {
        return process;
    }

    SimulatedNetwork network() {
        return network;
    }

    Strategy strategy() {
        return strategy;
    }

    double now() {
        return cluster.timeline.now();
    }

    /** Starts the process. A process that still runs is killed first. */
    void start() {
        if (isListening || !pending.isEmpty()) {
            kill();
        }
        process.start();
        isListening = true;
        auditor.onDispatcherStarted(number);
        handleEvent(() -> strategy = strategyFactory.create(settings, this));
    }

    /** Kills the process, so that its connections to clients and workers are lost. */
    void kill() {
        process.kill();
        isListening = false;
        auditor.onDispatcherStopped(number);
        discoveryWatch.stop();
        List<SimulatedRequest> lost = new ArrayList<>(pending.values());
        pending.clear();
        for (SimulatedRequest request : lost) {
            request.attempts().forEach(SimulatedAttempt::close);
            network.transmit(() -> clients.onConnectionLost(request.clientAttempt()));
        }
        List<ClientAttempt> lostUnread = new ArrayList<>(unread.values());
        unread.clear();
        for (ClientAttempt clientAttempt : lostUnread) {
            network.transmit(() -> clients.onConnectionLost(clientAttempt));
        }
    }

    /**
     * Shuts the process down gracefully: it accepts no new requests and completes the pending ones.
     * After the drain timeout it fails those that are still pending, and ends.
     */
    void terminate() {
        isListening = false;
        process.schedule(
                DRAIN_TIMEOUT_SECONDS,
                () -> {
                    new ArrayList<>(pending.values()).forEach(SimulatedRequest::onDeadline);
                    kill();
                });
    }

    /** Pauses or resumes the process, and reports the change to the auditor. */
    void setPaused(boolean paused) {
        process.setPaused(paused);
        if (paused) {
            auditor.onDispatcherPaused(number);
        } else {
            auditor.onDispatcherResumed(number);
        }
    }

    void onLinkChanged(NetworkLink networkLink, LinkState state) {
        if (networkLink.remote() == NetworkLink.CLIENTS) {
            auditor.setClientsImpaired(number, !state.equals(LinkState.OPEN));
        }
        if (networkLink.isToWorker()) {
            auditor.setLinkDelay(number, networkLink.remote(), state.maxExtraDelaySeconds(0));
        }
        SimulatedLink link = network.link(networkLink);
        LinkState before = link.state();
        link.apply(state);
        if (networkLink.remote() == NetworkLink.DISCOVERY) {
            discoveryWatch.onLinkChanged(before, state);
        }
    }

    /** Runs an event at once, or after the event that runs now and those queued before. */
    void handleEvent(Runnable event) {
        eventQueue.add(event);
        if (isHandlingEvent) {
            return;
        }
        isHandlingEvent = true;
        for (Runnable next = eventQueue.poll(); next != null; next = eventQueue.poll()) {
            if (strategy != null) {
                strategy.advanceTo(now());
            }
            next.run();
        }
        isHandlingEvent = false;
    }

    void onEndpoints(List<Endpoint> endpoints, boolean isComplete) {
        handleEvent(() -> strategy.onEndpoints(endpoints, isComplete));
    }

    void onEndpointsFailed() {
        handleEvent(strategy::onEndpointsFailed);
    }

    void submit(ClientAttempt clientAttempt) {
        int targetIncarnation = process.incarnation();
        SimulatedLink link = network.toClients();
        if (link.state().refuses()) {
            network.transmit(() -> clients.onRefused(clientAttempt));
            return;
        }
        network.transmit(
                link.state(),
                () ->
                        link.sendInbound(
                                () -> onArrival(clientAttempt, targetIncarnation),
                                () -> !cancelled.contains(clientAttempt.key())));
    }

    private void onArrival(ClientAttempt clientAttempt, int targetIncarnation) {
        if (targetIncarnation != process.incarnation() || !isListening) {
            clients.onRefused(clientAttempt);
            return;
        }
        unread.put(clientAttempt.key(), clientAttempt);
        process.receive(() -> read(clientAttempt));
    }

    private void read(ClientAttempt clientAttempt) {
        // A client attempt that was cancelled before it is read is not accepted.
        if (unread.remove(clientAttempt.key()) == null || cancelled.contains(clientAttempt.key())) {
            return;
        }
        SimulatedRequest request = new SimulatedRequest(this, clientAttempt);
        pending.put(request.id(), request);
        network.toClients().add(request);
        handleEvent(request::start);
        process.schedule(request.deadline() - now(), request::onDeadline);
    }

    /** Cancels a client attempt: the client closes its connection. */
    void cancel(ClientAttempt clientAttempt) {
        long key = clientAttempt.key();
        cancelled.add(key);
        cluster.timeline.schedule(CANCELLATION_RETENTION_SECONDS, () -> cancelled.remove(key));
        SimulatedLink link = network.toClients();
        network.transmit(
                () -> link.sendInbound(() -> process.receive(() -> onCancelled(key)), () -> true));
    }

    private void onCancelled(long key) {
        unread.remove(key);
        SimulatedRequest request = pending.get(new Ids.Request(key));
        if (request != null) {
            handleEvent(request::onClientGone);
        }
    }

    void onClientConnectionReset(SimulatedRequest request) {
        network.transmit(() -> clients.onConnectionLost(request.clientAttempt()));
        process.receive(() -> handleEvent(request::onClientGone));
    }

    /** Sends the final response, which a client that has cancelled does not read. */
    void sendResponse(SimulatedRequest request, FinalResponse response, double retryAfterSeconds) {
        ClientAttempt clientAttempt = request.clientAttempt();
        SimulatedLink link = network.toClients();
        Runnable arrival =
                () -> {
                    if (!cancelled.contains(clientAttempt.key())) {
                        clients.onResponse(clientAttempt, response, retryAfterSeconds);
                    }
                };
        network.transmit(link.state(), () -> link.sendOutbound(arrival, () -> true));
        link.remove(request);
    }

    boolean isPending(SimulatedRequest request) {
        return pending.get(request.id()) == request;
    }

    void removePending(SimulatedRequest request) {
        pending.remove(request.id());
    }

    @Override
    public void startAttempt(Ids.Request id, Ids.Worker workerId, double timeoutSeconds) {
        SimulatedRequest request = pending.get(id);
        List<SimulatedAttempt> attempts = request.attempts();
        WorkerModel worker = cluster.workers.get((int) workerId.value());
        SimulatedAttempt attempt =
                new SimulatedAttempt(this, request, attempts.size(), worker, auditor);
        attempts.add(attempt);
        attempt.send();
    }

    @Override
    public void reject(Ids.Request id, double retryAfterSeconds) {
        pending.get(id).respond(FinalResponse.REJECTED, retryAfterSeconds);
    }

    @Override
    public void fail(Ids.Request id) {
        pending.get(id).respond(FinalResponse.FAILED, 0);
    }

    @Override
    public void cancelAttempt(Ids.Request id, int attempt) {
        SimulatedRequest request = pending.get(id);
        if (request != null) {
            request.attempts().get(attempt).cancel();
        }
    }

    @Override
    public void scheduleWakeup(double delaySeconds) {
        process.schedule(delaySeconds, () -> handleEvent(strategy::onWakeup));
    }

    @Override
    public void watchEndpoints() {
        discoveryWatch.start();
    }
}
