package wheelroute.kit.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import wheelroute.decision.ActionHandler;
import wheelroute.decision.Endpoint;
import wheelroute.decision.Ids;
import wheelroute.decision.LoadReport;
import wheelroute.decision.Outcome;
import wheelroute.decision.Request;
import wheelroute.decision.Settings;
import wheelroute.kit.audit.Auditor;
import wheelroute.kit.faults.LinkState;
import wheelroute.kit.faults.NetworkLink;
import wheelroute.kit.model.AttemptEnding;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.Clients;
import wheelroute.kit.model.ClusterModel;
import wheelroute.kit.model.EndpointRegistry;
import wheelroute.kit.model.FinalResponse;
import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.model.WorkerAttempt;
import wheelroute.kit.model.WorkerModel;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.strategy.Strategy;

/**
 * One dispatcher without sockets: what the daemon does around its decisions, event by event, with
 * the ways to and fro as delays. It keeps the daemon's order: a client is answered before the
 * decisions hear why.
 */
final class SimulatedDispatcher implements ActionHandler {
    /** As the daemon keeps back of what a client says it will wait. */
    private static final double RESPONSE_MARGIN = 0.08;

    private static final double RESPONSE_MARGIN_FRACTION = 0.1;

    /** After the signal to end what is left is given up after so long. */
    private static final double DRAIN_TIMEOUT = 3.5;

    /**
     * A watch of which nothing is heard counts as failed so long after it began: its hold, and 1.5
     * s.
     */
    private static final double WATCH_TIMEOUT = 6.5;

    /** A call for the whole list, which is not held. */
    private static final double CALL_TIMEOUT = 1.5;

    private static final double CANCELLATION_MEMORY = 60;

    private final int number;
    private final ClusterModel cluster;
    private final Scenario scenario;
    private final Settings settings;
    private final Strategy.Factory strategyFactory;
    private final Auditor auditor;
    private final ArrayDeque<Runnable> eventQueue = new ArrayDeque<>();
    private final Map<Ids.Request, PendingRequest> pending = new HashMap<>();
    private final Consumer<EndpointRegistry.Entry> watcher = this::onEndpointChanged;
    private Clients clients;
    private Strategy strategy;
    private boolean isDeciding;
    private boolean isListening;
    private boolean isWatching;
    private int incarnation;
    private long messageCount;
    private final Map<NetworkLink, SimulatedLink> links = new HashMap<>();

    /**
     * While the process stands still: what would have happened, timers before what came from
     * outside.
     */
    private boolean isPaused;

    private final ArrayDeque<Runnable> timersDuringPause = new ArrayDeque<>();
    private final ArrayDeque<Runnable> inputDuringPause = new ArrayDeque<>();

    /** Sent to us and not read yet, by clients that still wait for it. */
    private final Map<Long, ClientAttempt> unread = new HashMap<>();

    private final Set<Long> cancelled = new HashSet<>();

    SimulatedDispatcher(
            int number,
            ClusterModel cluster,
            Settings settings,
            Strategy.Factory factory,
            Auditor auditor) {
        this.number = number;
        this.cluster = cluster;
        this.scenario = cluster.scenario;
        this.settings = settings;
        this.strategyFactory = factory;
        this.auditor = auditor;
        cluster.registry.onOutage(this::onOutage);
    }

    void clients(Clients newClients) {
        clients = newClients;
    }

    boolean isListening() {
        return isListening;
    }

    void start() {
        if (isListening || !pending.isEmpty()) {
            kill();
        }
        incarnation++;
        isListening = true;
        auditor.onDispatcherStarted(number);
        dispatch(() -> strategy = strategyFactory.create(settings, this));
    }

    /** SIGKILL: connections on both sides break. */
    void kill() {
        incarnation++;
        isListening = false;
        isPaused = false;
        timersDuringPause.clear();
        inputDuringPause.clear();
        auditor.onDispatcherStopped(number);
        cluster.registry.unwatch(watcher);
        isWatching = false;
        List<PendingRequest> lost = new ArrayList<>(pending.values());
        pending.clear();
        for (PendingRequest pendingRequest : lost) {
            pendingRequest.attempts.forEach(InFlightAttempt::close);
            transmit(() -> clients.onConnectionLost(pendingRequest.clientAttempt));
        }
        List<ClientAttempt> neverRead = new ArrayList<>(unread.values());
        unread.clear();
        neverRead.forEach(clientAttempt -> transmit(() -> clients.onConnectionLost(clientAttempt)));
    }

    /** SIGTERM: nothing new, what is held is answered, then the end. */
    void terminate() {
        isListening = false;
        schedule(
                DRAIN_TIMEOUT,
                () -> {
                    new ArrayList<>(pending.values()).forEach(PendingRequest::onDeadline);
                    kill();
                });
    }

    /** SIGSTOP and SIGCONT: what would have happened meanwhile happens when it goes on. */
    void setPaused(boolean begins) {
        isPaused = begins;
        if (begins) {
            auditor.onDispatcherPaused(number);
            return;
        }
        // As the loop does: timers that are due run before anything is read.
        while (!isPaused && !(timersDuringPause.isEmpty() && inputDuringPause.isEmpty())) {
            (timersDuringPause.isEmpty() ? inputDuringPause : timersDuringPause).pollFirst().run();
        }
        auditor.onDispatcherResumed(number);
    }

    void onLinkChanged(NetworkLink link, LinkState state) {
        if (link.worker() == NetworkLink.CLIENTS) {
            auditor.setClientsImpaired(number, !state.equals(LinkState.OPEN));
        }
        if (link.isToWorker()) {
            auditor.setLinkDelay(number, link.worker(), state.maxDelay(0));
        }
        LinkState before = link(link).state();
        link(link).apply(state);
        if (link.worker() == NetworkLink.DISCOVERY) {
            boolean shut = !state.outbound() || !state.inbound();
            if (state.refuses()) {
                onWatchLost();
            } else if (shut && before.outbound() && before.inbound()) {
                schedule(
                        WATCH_TIMEOUT,
                        () -> {
                            if (!link(link).state().inbound() || !link(link).state().outbound()) {
                                onWatchLost();
                            }
                        });
            }
        }
    }

    private SimulatedLink link(NetworkLink link) {
        return links.computeIfAbsent(link, w -> new SimulatedLink(cluster.timeline));
    }

    /** A timer of this process; it is gone with it, and late if that stands still. */
    private void schedule(double delay, Runnable task) {
        int from = incarnation;
        cluster.timeline.schedule(
                delay,
                () -> {
                    if (from != incarnation) {
                        return;
                    }
                    if (isPaused) {
                        timersDuringPause.addLast(task);
                    } else {
                        task.run();
                    }
                });
    }

    /** What reaches this process from outside. */
    private void receive(Runnable event) {
        if (isPaused) {
            inputDuringPause.addLast(event);
        } else {
            event.run();
        }
    }

    /** A message's way: never at once, so that no event reaches a decision that is being made. */
    private void transmit(Runnable arrival) {
        transmit(LinkState.OPEN, arrival);
    }

    private void transmit(LinkState state, Runnable arrival) {
        Scenario.Network network = scenario.network();
        double delay = network.delay();
        if (network.jitter() > 0) {
            delay +=
                    network.jitter()
                            * cluster.random.uniform(
                                    SeededRandom.Purpose.NETWORK, number, messageCount++);
        }
        if (!state.equals(LinkState.OPEN)) {
            delay +=
                    state.extraDelay(
                            () ->
                                    cluster.random.uniform(
                                            SeededRandom.Purpose.LINK, number, messageCount++));
        }
        cluster.timeline.schedule(delay, arrival);
    }

    private void dispatch(Runnable event) {
        eventQueue.add(event);
        if (isDeciding) {
            return;
        }
        isDeciding = true;
        for (Runnable next = eventQueue.poll(); next != null; next = eventQueue.poll()) {
            if (strategy != null) {
                strategy.advanceTo(cluster.timeline.now());
            }
            next.run();
        }
        isDeciding = false;
    }

    // ---- from the clients

    void submit(ClientAttempt clientAttempt) {
        int sentTo = incarnation;
        SimulatedLink link = link(NetworkLink.toClients(number));
        if (link.state().refuses()) {
            transmit(() -> clients.onRefused(clientAttempt));
            return;
        }
        transmit(
                link.state(),
                () ->
                        link.sendInbound(
                                () -> {
                                    if (sentTo != incarnation || !isListening) {
                                        clients.onRefused(clientAttempt);
                                        return;
                                    }
                                    unread.put(clientAttempt.key(), clientAttempt);
                                    receive(() -> read(clientAttempt));
                                },
                                () -> !cancelled.contains(clientAttempt.key())));
    }

    private void read(ClientAttempt clientAttempt) {
        // Whose client has left while it lay unread is not taken.
        if (unread.remove(clientAttempt.key()) == null || cancelled.contains(clientAttempt.key())) {
            return;
        }
        PendingRequest pendingRequest = new PendingRequest(clientAttempt);
        pending.put(pendingRequest.request.id(), pendingRequest);
        link(NetworkLink.toClients(number)).add(pendingRequest);
        dispatch(pendingRequest::start);
        schedule(
                pendingRequest.request.deadline() - cluster.timeline.now(),
                pendingRequest::onDeadline);
    }

    void cancel(ClientAttempt clientAttempt) {
        cancelled.add(clientAttempt.key());
        // An answer may be under way for as long as a process can stand still.
        cluster.timeline.schedule(CANCELLATION_MEMORY, () -> cancelled.remove(clientAttempt.key()));
        transmit(
                () ->
                        link(NetworkLink.toClients(number))
                                .sendInbound(
                                        () ->
                                                receive(
                                                        () -> {
                                                            unread.remove(clientAttempt.key());
                                                            PendingRequest pendingRequest =
                                                                    pending.get(
                                                                            new Ids.Request(
                                                                                    clientAttempt
                                                                                            .key()));
                                                            if (pendingRequest != null) {
                                                                dispatch(
                                                                        pendingRequest
                                                                                ::onClientGone);
                                                            }
                                                        }),
                                        () -> true));
    }

    private final class PendingRequest implements SimulatedLink.Connection {
        final ClientAttempt clientAttempt;
        final Request request;
        final List<InFlightAttempt> attempts = new ArrayList<>(2);
        private Strategy.Handle handle;
        private boolean answered;

        PendingRequest(ClientAttempt clientAttempt) {
            this.clientAttempt = clientAttempt;
            double margin =
                    Math.min(RESPONSE_MARGIN, RESPONSE_MARGIN_FRACTION * clientAttempt.timeout());
            Scenario.RequestClass requestClass = clientAttempt.request().requestClass();
            request =
                    new Request(
                            new Ids.Request(clientAttempt.key()),
                            new Ids.RequestClass(requestClass.name()),
                            new Ids.Tenant(clientAttempt.request().tenant().name()),
                            cluster.timeline.now() + clientAttempt.timeout() - margin,
                            clientAttempt.request().costEstimate(),
                            requestClass.slots(),
                            requestClass.memory(),
                            clientAttempt.number() > 0,
                            null);
        }

        void start() {
            handle = strategy.accept(request);
            closeIfComplete();
        }

        void respond(FinalResponse response, double retryAfter) {
            if (!answered) {
                answered = true;
                SimulatedLink link = link(NetworkLink.toClients(number));
                transmit(
                        link.state(),
                        () ->
                                link.sendOutbound(
                                        () -> {
                                            // Who has left reads nothing more.
                                            if (!cancelled.contains(clientAttempt.key())) {
                                                clients.onResponse(
                                                        clientAttempt, response, retryAfter);
                                            }
                                        },
                                        () -> true));
                link.remove(this);
            }
        }

        /** The way to its client breaks. */
        @Override
        public void reset() {
            transmit(() -> clients.onConnectionLost(clientAttempt));
            receive(() -> dispatch(this::onClientGone));
        }

        void onClientGone() {
            if (!answered) {
                answered = true;
                link(NetworkLink.toClients(number)).remove(this);
                handle.onClientGone();
                closeIfComplete();
            }
        }

        void onDeadline() {
            if (pending.get(request.id()) != this) {
                return;
            }
            for (InFlightAttempt attempt : new ArrayList<>(attempts)) {
                attempt.abort(Outcome.TIMED_OUT);
            }
            dispatch(
                    () -> {
                        if (!answered) {
                            respond(FinalResponse.FAILED, 0);
                        }
                        pending.remove(request.id());
                    });
        }

        void closeIfComplete() {
            if (answered && handle != null && handle.isComplete()) {
                pending.remove(request.id());
            }
        }
    }

    // ---- one launch

    private final class InFlightAttempt implements WorkerAttempt.Reply, SimulatedLink.Connection {
        private final PendingRequest pendingRequest;
        private final int number;
        private final WorkerModel worker;
        private final int startedIn = incarnation;
        private final SimulatedLink link;
        private WorkerAttempt workerAttempt;
        private boolean ended;

        /**
         * Its connection is closed by us, or broken: nothing more is heard, or reaches the worker.
         */
        private boolean closed;

        InFlightAttempt(PendingRequest pendingRequest, int number, WorkerModel worker) {
            this.pendingRequest = pendingRequest;
            this.number = number;
            this.worker = worker;
            link = link(new NetworkLink(SimulatedDispatcher.this.number, worker.number));
        }

        /**
         * On the way it cannot be taken back; whether the worker is there is seen when it arrives.
         */
        void send() {
            if (link.state().refuses()) {
                transmit(() -> receiveBack(() -> end(Outcome.CONNECT_FAILED, Double.NaN)));
                return;
            }
            link.add(this);
            transmit(link.state(), () -> link.sendOutbound(this::onArrival, () -> !closed));
        }

        private void onArrival() {
            if (closed && !link.state().equals(LinkState.OPEN)) {
                // Reset on the way, or called off while the way was harmed.
                return;
            }
            if (!worker.isUp()) {
                sendBack(() -> end(Outcome.CONNECT_FAILED, Double.NaN));
                return;
            }
            Scenario.RequestClass requestClass =
                    pendingRequest.clientAttempt.request().requestClass();
            workerAttempt =
                    new WorkerAttempt(
                            pendingRequest.clientAttempt.key(),
                            pendingRequest.clientAttempt.request().work(),
                            requestClass.slots(),
                            requestClass.memory(),
                            this);
            worker.accept(workerAttempt);
            if (ended) {
                closeAtWorker();
            }
        }

        /**
         * What the worker says comes back by the same way, and waits on it while nothing passes.
         */
        private void sendBack(Runnable word) {
            transmit(link.state(), () -> link.sendInbound(() -> receiveBack(word), () -> !closed));
        }

        private void receiveBack(Runnable word) {
            if (startedIn == incarnation) {
                receive(
                        () -> {
                            if (startedIn == incarnation) {
                                word.run();
                            }
                        });
            }
        }

        @Override
        public void onStarted() {
            sendBack(
                    () -> {
                        if (!ended) {
                            dispatch(() -> pendingRequest.handle.onStarted(number));
                        }
                    });
        }

        @Override
        public void onProgress(double share) {
            sendBack(
                    () -> {
                        if (!ended) {
                            dispatch(() -> pendingRequest.handle.onProgress(number, share));
                        }
                    });
        }

        @Override
        public void onEnded(AttemptEnding ending, double freeSlots) {
            sendBack(
                    () ->
                            end(
                                    switch (ending) {
                                        case SUCCEEDED -> Outcome.SUCCEEDED;
                                        case FAILED -> Outcome.FAILED;
                                        case RETURNED, REJECTED -> Outcome.REJECTED;
                                        case CONNECTION_LOST -> Outcome.CONNECTION_LOST;
                                    },
                                    freeSlots));
        }

        private void end(Outcome outcome, double freeSlots) {
            if (ended || startedIn != incarnation) {
                return;
            }
            ended = true;
            link.remove(this);
            dispatch(
                    () -> {
                        if (outcome == Outcome.SUCCEEDED) {
                            pendingRequest.respond(FinalResponse.SUCCEEDED, 0);
                        }
                        pendingRequest.handle.onEnded(
                                number,
                                outcome,
                                pendingRequest.answered,
                                new LoadReport(freeSlots));
                        pendingRequest.closeIfComplete();
                    });
        }

        void cancel() {
            abort(Outcome.CANCELLED);
        }

        void abort(Outcome outcome) {
            if (!ended) {
                close();
                end(outcome, Double.NaN);
            }
        }

        /** The way refuses: the connection breaks for both, and what was sent may have run. */
        @Override
        public void reset() {
            closed = true;
            if (workerAttempt != null) {
                closeAtWorker();
            }
            transmit(() -> receiveBack(() -> end(Outcome.CONNECTION_LOST, Double.NaN)));
        }

        /** The connection ends now; the worker sees it one way later. */
        void close() {
            closed = true;
            link.remove(this);
            if (workerAttempt != null) {
                auditor.onClosed(workerAttempt);
                transmit(() -> link.sendOutbound(this::closeAtWorker, () -> true));
            }
        }

        private void closeAtWorker() {
            auditor.onClosed(workerAttempt);
            worker.cancel(workerAttempt);
        }
    }

    // ---- from the list

    private Endpoint toEndpoint(EndpointRegistry.Entry entry) {
        WorkerModel worker = entry.worker();
        return new Endpoint(
                new Ids.Worker(worker.number),
                new Ids.Model(worker.group.model()),
                1,
                new Ids.Zone(worker.group.zone()),
                entry.startedAt(),
                new Ids.Cell(scenario.groups().indexOf(worker.group)),
                switch (entry.state()) {
                    case READY -> Endpoint.State.READY;
                    case DRAINING -> Endpoint.State.DRAINING;
                    case GONE -> Endpoint.State.REMOVED;
                });
    }

    private void onEndpointChanged(EndpointRegistry.Entry entry) {
        sendEndpoints(List.of(entry), false);
    }

    private void sendEndpoints(List<EndpointRegistry.Entry> entries, boolean whole) {
        int to = incarnation;
        SimulatedLink link = link(NetworkLink.toDiscovery(number));
        transmit(
                link.state(),
                () ->
                        link.sendInbound(
                                () -> receive(() -> onEndpointsReceived(entries, whole, to)),
                                () -> to == incarnation && isWatching));
    }

    private void onEndpointsReceived(List<EndpointRegistry.Entry> entries, boolean whole, int to) {
        if (to != incarnation) {
            return;
        }
        List<Endpoint> listings = new ArrayList<>();
        for (EndpointRegistry.Entry entry : entries) {
            auditor.onNotified(number, entry.worker().number, entry.state());
            if (!whole || entry.state() != EndpointRegistry.State.GONE) {
                listings.add(toEndpoint(entry));
            }
        }
        dispatch(() -> strategy.onEndpoints(listings, whole));
    }

    private void onOutage() {
        if (link(NetworkLink.toDiscovery(number)).state().inbound()) {
            onWatchLost();
        }
    }

    private void onWatchLost() {
        if (isWatching) {
            cluster.registry.unwatch(watcher);
            isWatching = false;
            failWatch(0);
        }
    }

    private void failWatch(double after) {
        int to = incarnation;
        cluster.timeline.schedule(
                after,
                () ->
                        transmit(
                                () -> {
                                    if (to == incarnation) {
                                        receive(() -> dispatch(strategy::onEndpointsFailed));
                                    }
                                }));
    }

    @Override
    public void watchEndpoints() {
        LinkState state = link(NetworkLink.toDiscovery(number)).state();
        if (cluster.registry.isDown() || state.refuses()) {
            failWatch(0);
        } else if (!state.outbound() || !state.inbound()) {
            failWatch(CALL_TIMEOUT);
        } else if (!isWatching) {
            isWatching = true;
            cluster.registry.watch(watcher);
            sendEndpoints(cluster.registry.entries(), true);
        }
    }

    // ---- from the decisions

    @Override
    public void startAttempt(Ids.Request request, Ids.Worker worker, double limit) {
        PendingRequest pendingRequest = pending.get(request);
        InFlightAttempt attempt =
                new InFlightAttempt(
                        pendingRequest,
                        pendingRequest.attempts.size(),
                        cluster.workers.get((int) worker.value()));
        pendingRequest.attempts.add(attempt);
        attempt.send();
    }

    @Override
    public void reject(Ids.Request request, double retryAfter) {
        pending.get(request).respond(FinalResponse.REJECTED, retryAfter);
    }

    @Override
    public void fail(Ids.Request request) {
        pending.get(request).respond(FinalResponse.FAILED, 0);
    }

    @Override
    public void cancelAttempt(Ids.Request request, int attempt) {
        PendingRequest pendingRequest = pending.get(request);
        if (pendingRequest != null) {
            pendingRequest.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void scheduleWakeup(double delay) {
        schedule(delay, () -> dispatch(strategy::onWakeup));
    }
}
