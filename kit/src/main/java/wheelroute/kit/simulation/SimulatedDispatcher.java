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
    private static final double ANSWER_MARGIN = 0.08;

    private static final double ANSWER_MARGIN_PART = 0.1;

    /** After the signal to end what is left is given up after so long. */
    private static final double DRAIN = 3.5;

    /**
     * A watch of which nothing is heard counts as failed so long after it began: its hold, and 1.5
     * s.
     */
    private static final double WATCH_SILENT = 6.5;

    /** A call for the whole list, which is not held. */
    private static final double CALL_SILENT = 1.5;

    private static final double LEFT_FOR = 60;

    private final int number;
    private final ClusterModel world;
    private final Scenario scenario;
    private final Settings settings;
    private final Strategy.Factory maker;
    private final Auditor auditor;
    private final ArrayDeque<Runnable> turns = new ArrayDeque<>();
    private final Map<Ids.Request, PendingRequest> open = new HashMap<>();
    private final Consumer<EndpointRegistry.Entry> watcher = this::changed;
    private Clients clients;
    private Strategy brain;
    private boolean deciding;
    private boolean listens;
    private boolean watching;
    private int life;
    private long messages;
    private final Map<NetworkLink, SimulatedLink> lanes = new HashMap<>();

    /**
     * While the process stands still: what would have happened, timers before what came from
     * outside.
     */
    private boolean still;

    private final ArrayDeque<Runnable> dueMeanwhile = new ArrayDeque<>();
    private final ArrayDeque<Runnable> cameMeanwhile = new ArrayDeque<>();

    /** Sent to us and not read yet, by clients that still wait for it. */
    private final Map<Long, ClientAttempt> unread = new HashMap<>();

    private final Set<Long> left = new HashSet<>();

    SimulatedDispatcher(
            int number,
            ClusterModel world,
            Settings settings,
            Strategy.Factory maker,
            Auditor auditor) {
        this.number = number;
        this.world = world;
        this.scenario = world.scenario;
        this.settings = settings;
        this.maker = maker;
        this.auditor = auditor;
        world.registry.onOutage(this::outage);
    }

    void clients(Clients newClients) {
        clients = newClients;
    }

    boolean listens() {
        return listens;
    }

    void start() {
        if (listens || !open.isEmpty()) {
            kill();
        }
        life++;
        listens = true;
        auditor.dispatcherBorn(number);
        turn(() -> brain = maker.make(settings, this));
    }

    /** SIGKILL: connections on both sides break. */
    void kill() {
        life++;
        listens = false;
        still = false;
        dueMeanwhile.clear();
        cameMeanwhile.clear();
        auditor.dispatcherDied(number);
        world.registry.unwatch(watcher);
        watching = false;
        List<PendingRequest> lost = new ArrayList<>(open.values());
        open.clear();
        for (PendingRequest exchange : lost) {
            exchange.launches.forEach(InFlightAttempt::close);
            travel(() -> clients.cutOff(exchange.submitted));
        }
        List<ClientAttempt> neverRead = new ArrayList<>(unread.values());
        unread.clear();
        neverRead.forEach(submitted -> travel(() -> clients.cutOff(submitted)));
    }

    /** SIGTERM: nothing new, what is held is answered, then the end. */
    void end() {
        listens = false;
        later(
                DRAIN,
                () -> {
                    new ArrayList<>(open.values()).forEach(PendingRequest::outOfTime);
                    kill();
                });
    }

    /** SIGSTOP and SIGCONT: what would have happened meanwhile happens when it goes on. */
    void pause(boolean begins) {
        still = begins;
        if (begins) {
            auditor.dispatcherPaused(number);
            return;
        }
        // As the loop does: timers that are due run before anything is read.
        while (!still && !(dueMeanwhile.isEmpty() && cameMeanwhile.isEmpty())) {
            (dueMeanwhile.isEmpty() ? cameMeanwhile : dueMeanwhile).pollFirst().run();
        }
        auditor.dispatcherWoke(number);
    }

    void harmed(NetworkLink way, LinkState passage) {
        if (way.worker() == NetworkLink.CLIENTS) {
            auditor.clientsHarmed(number, !passage.equals(LinkState.OPEN));
        }
        if (way.isToWorker()) {
            auditor.wayLater(number, way.worker(), passage.mostLater(0));
        }
        LinkState before = lane(way).passage();
        lane(way).set(passage);
        if (way.worker() == NetworkLink.LIST) {
            boolean shut = !passage.forth() || !passage.back();
            if (passage.refuses()) {
                listLost();
            } else if (shut && before.forth() && before.back()) {
                later(
                        WATCH_SILENT,
                        () -> {
                            if (!lane(way).passage().back() || !lane(way).passage().forth()) {
                                listLost();
                            }
                        });
            }
        }
    }

    private SimulatedLink lane(NetworkLink way) {
        return lanes.computeIfAbsent(way, w -> new SimulatedLink(world.timeline));
    }

    /** A timer of this process; it is gone with it, and late if that stands still. */
    private void later(double delay, Runnable task) {
        int from = life;
        world.timeline.after(
                delay,
                () -> {
                    if (from != life) {
                        return;
                    }
                    if (still) {
                        dueMeanwhile.addLast(task);
                    } else {
                        task.run();
                    }
                });
    }

    /** What reaches this process from outside. */
    private void comes(Runnable event) {
        if (still) {
            cameMeanwhile.addLast(event);
        } else {
            event.run();
        }
    }

    /** A message's way: never at once, so that no event reaches a decision that is being made. */
    private void travel(Runnable arrival) {
        travel(LinkState.OPEN, arrival);
    }

    private void travel(LinkState passage, Runnable arrival) {
        Scenario.Network network = scenario.network();
        double delay = network.delay();
        if (network.jitter() > 0) {
            delay +=
                    network.jitter()
                            * world.chance.once(SeededRandom.Purpose.NETWORK, number, messages++);
        }
        if (!passage.equals(LinkState.OPEN)) {
            delay +=
                    passage.later(
                            () -> world.chance.once(SeededRandom.Purpose.LINK, number, messages++));
        }
        world.timeline.after(delay, arrival);
    }

    private void turn(Runnable event) {
        turns.add(event);
        if (deciding) {
            return;
        }
        deciding = true;
        for (Runnable next = turns.poll(); next != null; next = turns.poll()) {
            if (brain != null) {
                brain.at(world.timeline.now());
            }
            next.run();
        }
        deciding = false;
    }

    // ---- from the clients

    void submit(ClientAttempt submitted) {
        int sentTo = life;
        SimulatedLink lane = lane(NetworkLink.toClients(number));
        if (lane.passage().refuses()) {
            travel(() -> clients.refused(submitted));
            return;
        }
        travel(
                lane.passage(),
                () ->
                        lane.back(
                                () -> {
                                    if (sentTo != life || !listens) {
                                        clients.refused(submitted);
                                        return;
                                    }
                                    unread.put(submitted.key(), submitted);
                                    comes(() -> read(submitted));
                                },
                                () -> !left.contains(submitted.key())));
    }

    private void read(ClientAttempt submitted) {
        // Whose client has left while it lay unread is not taken.
        if (unread.remove(submitted.key()) == null || left.contains(submitted.key())) {
            return;
        }
        PendingRequest exchange = new PendingRequest(submitted);
        open.put(exchange.submission.id(), exchange);
        lane(NetworkLink.toClients(number)).open(exchange);
        turn(exchange::begin);
        later(exchange.submission.deadline() - world.timeline.now(), exchange::outOfTime);
    }

    void hangUp(ClientAttempt submitted) {
        left.add(submitted.key());
        // An answer may be under way for as long as a process can stand still.
        world.timeline.after(LEFT_FOR, () -> left.remove(submitted.key()));
        travel(
                () ->
                        lane(NetworkLink.toClients(number))
                                .back(
                                        () ->
                                                comes(
                                                        () -> {
                                                            unread.remove(submitted.key());
                                                            PendingRequest exchange =
                                                                    open.get(
                                                                            new Ids.Request(
                                                                                    submitted
                                                                                            .key()));
                                                            if (exchange != null) {
                                                                turn(exchange::clientGone);
                                                            }
                                                        }),
                                        () -> true));
    }

    private final class PendingRequest implements SimulatedLink.Connection {
        final ClientAttempt submitted;
        final Request submission;
        final List<InFlightAttempt> launches = new ArrayList<>(2);
        private Strategy.Handle held;
        private boolean answered;

        PendingRequest(ClientAttempt submitted) {
            this.submitted = submitted;
            double margin = Math.min(ANSWER_MARGIN, ANSWER_MARGIN_PART * submitted.timeout());
            Scenario.RequestClass offering = submitted.ask().offering();
            submission =
                    new Request(
                            new Ids.Request(submitted.key()),
                            new Ids.RequestClass(offering.name()),
                            new Ids.Tenant(submitted.ask().tenant().name()),
                            world.timeline.now() + submitted.timeout() - margin,
                            submitted.ask().hint(),
                            offering.slots(),
                            offering.memory(),
                            submitted.attempt() > 0,
                            null);
        }

        void begin() {
            held = brain.take(submission);
            closeIfOver();
        }

        void answer(FinalResponse answer, double retryAfter) {
            if (!answered) {
                answered = true;
                SimulatedLink lane = lane(NetworkLink.toClients(number));
                travel(
                        lane.passage(),
                        () ->
                                lane.forth(
                                        () -> {
                                            // Who has left reads nothing more.
                                            if (!left.contains(submitted.key())) {
                                                clients.answered(submitted, answer, retryAfter);
                                            }
                                        },
                                        () -> true));
                lane.closed(this);
            }
        }

        /** The way to its client breaks. */
        @Override
        public void reset() {
            travel(() -> clients.cutOff(submitted));
            comes(() -> turn(this::clientGone));
        }

        void clientGone() {
            if (!answered) {
                answered = true;
                lane(NetworkLink.toClients(number)).closed(this);
                held.gone();
                closeIfOver();
            }
        }

        void outOfTime() {
            if (open.get(submission.id()) != this) {
                return;
            }
            for (InFlightAttempt flight : new ArrayList<>(launches)) {
                flight.giveUp(Outcome.TIMED_OUT);
            }
            turn(
                    () -> {
                        if (!answered) {
                            answer(FinalResponse.SCRAPPED, 0);
                        }
                        open.remove(submission.id());
                    });
        }

        void closeIfOver() {
            if (answered && held != null && held.isOver()) {
                open.remove(submission.id());
            }
        }
    }

    // ---- one launch

    private final class InFlightAttempt implements WorkerAttempt.Reply, SimulatedLink.Connection {
        private final PendingRequest exchange;
        private final int number;
        private final WorkerModel worker;
        private final int from = life;
        private final SimulatedLink lane;
        private WorkerAttempt launch;
        private boolean ended;

        /**
         * Its connection is closed by us, or broken: nothing more is heard, or reaches the worker.
         */
        private boolean closed;

        InFlightAttempt(PendingRequest exchange, int number, WorkerModel worker) {
            this.exchange = exchange;
            this.number = number;
            this.worker = worker;
            lane = lane(new NetworkLink(SimulatedDispatcher.this.number, worker.number));
        }

        /**
         * On the way it cannot be taken back; whether the worker is there is seen when it arrives.
         */
        void send() {
            if (lane.passage().refuses()) {
                travel(() -> hears(() -> end(Outcome.CONNECT_FAILED, Double.NaN)));
                return;
            }
            lane.open(this);
            travel(lane.passage(), () -> lane.forth(this::arrive, () -> !closed));
        }

        private void arrive() {
            if (closed && !lane.passage().equals(LinkState.OPEN)) {
                // Reset on the way, or called off while the way was harmed.
                return;
            }
            if (!worker.isUp()) {
                back(() -> end(Outcome.CONNECT_FAILED, Double.NaN));
                return;
            }
            Scenario.RequestClass offering = exchange.submitted.ask().offering();
            launch =
                    new WorkerAttempt(
                            exchange.submitted.key(),
                            exchange.submitted.ask().work(),
                            offering.slots(),
                            offering.memory(),
                            this);
            worker.arrive(launch);
            if (ended) {
                closeAtWorker();
            }
        }

        /**
         * What the worker says comes back by the same way, and waits on it while nothing passes.
         */
        private void back(Runnable word) {
            travel(lane.passage(), () -> lane.back(() -> hears(word), () -> !closed));
        }

        private void hears(Runnable word) {
            if (from == life) {
                comes(
                        () -> {
                            if (from == life) {
                                word.run();
                            }
                        });
            }
        }

        @Override
        public void started() {
            back(
                    () -> {
                        if (!ended) {
                            turn(() -> exchange.held.started(number));
                        }
                    });
        }

        @Override
        public void progressed(double share) {
            back(
                    () -> {
                        if (!ended) {
                            turn(() -> exchange.held.progressed(number, share));
                        }
                    });
        }

        @Override
        public void ended(AttemptEnding ending, double freeSlots) {
            back(
                    () ->
                            end(
                                    switch (ending) {
                                        case DONE -> Outcome.SUCCEEDED;
                                        case FAILED -> Outcome.FAILED;
                                        case RETURNED, TURNED_AWAY -> Outcome.REJECTED;
                                        case BROKEN -> Outcome.CONNECTION_LOST;
                                    },
                                    freeSlots));
        }

        private void end(Outcome outcome, double freeSlots) {
            if (ended || from != life) {
                return;
            }
            ended = true;
            lane.closed(this);
            turn(
                    () -> {
                        if (outcome == Outcome.SUCCEEDED) {
                            exchange.answer(FinalResponse.FULFILLED, 0);
                        }
                        exchange.held.ended(
                                number, outcome, exchange.answered, new LoadReport(freeSlots));
                        exchange.closeIfOver();
                    });
        }

        void calledOff() {
            giveUp(Outcome.CANCELLED);
        }

        void giveUp(Outcome outcome) {
            if (!ended) {
                close();
                end(outcome, Double.NaN);
            }
        }

        /** The way refuses: the connection breaks for both, and what was sent may have run. */
        @Override
        public void reset() {
            closed = true;
            if (launch != null) {
                closeAtWorker();
            }
            travel(() -> hears(() -> end(Outcome.CONNECTION_LOST, Double.NaN)));
        }

        /** The connection ends now; the worker sees it one way later. */
        void close() {
            closed = true;
            lane.closed(this);
            if (launch != null) {
                auditor.closed(launch);
                travel(() -> lane.forth(this::closeAtWorker, () -> true));
            }
        }

        private void closeAtWorker() {
            auditor.closed(launch);
            worker.dropped(launch);
        }
    }

    // ---- from the list

    private Endpoint listing(EndpointRegistry.Entry entry) {
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

    private void changed(EndpointRegistry.Entry entry) {
        hear(List.of(entry), false);
    }

    private void hear(List<EndpointRegistry.Entry> entries, boolean whole) {
        int to = life;
        SimulatedLink lane = lane(NetworkLink.toList(number));
        travel(
                lane.passage(),
                () ->
                        lane.back(
                                () -> comes(() -> heard(entries, whole, to)),
                                () -> to == life && watching));
    }

    private void heard(List<EndpointRegistry.Entry> entries, boolean whole, int to) {
        if (to != life) {
            return;
        }
        List<Endpoint> listings = new ArrayList<>();
        for (EndpointRegistry.Entry entry : entries) {
            auditor.told(number, entry.worker().number, entry.state());
            if (!whole || entry.state() != EndpointRegistry.State.GONE) {
                listings.add(listing(entry));
            }
        }
        turn(() -> brain.listed(listings, whole));
    }

    private void outage() {
        if (lane(NetworkLink.toList(number)).passage().back()) {
            listLost();
        }
    }

    private void listLost() {
        if (watching) {
            world.registry.unwatch(watcher);
            watching = false;
            failed(0);
        }
    }

    private void failed(double after) {
        int to = life;
        world.timeline.after(
                after,
                () ->
                        travel(
                                () -> {
                                    if (to == life) {
                                        comes(() -> turn(brain::listFailed));
                                    }
                                }));
    }

    @Override
    public void watchEndpoints() {
        LinkState passage = lane(NetworkLink.toList(number)).passage();
        if (world.registry.isDown() || passage.refuses()) {
            failed(0);
        } else if (!passage.forth() || !passage.back()) {
            failed(CALL_SILENT);
        } else if (!watching) {
            watching = true;
            world.registry.watch(watcher);
            hear(world.registry.entries(), true);
        }
    }

    // ---- from the decisions

    @Override
    public void startAttempt(Ids.Request submission, Ids.Worker worker, double limit) {
        PendingRequest exchange = open.get(submission);
        InFlightAttempt flight =
                new InFlightAttempt(
                        exchange,
                        exchange.launches.size(),
                        world.workers.get((int) worker.value()));
        exchange.launches.add(flight);
        flight.send();
    }

    @Override
    public void reject(Ids.Request submission, double retryAfter) {
        open.get(submission).answer(FinalResponse.BOUNCED, retryAfter);
    }

    @Override
    public void fail(Ids.Request submission) {
        open.get(submission).answer(FinalResponse.SCRAPPED, 0);
    }

    @Override
    public void cancelAttempt(Ids.Request submission, int launch) {
        PendingRequest exchange = open.get(submission);
        if (exchange != null) {
            exchange.launches.get(launch).calledOff();
        }
    }

    @Override
    public void scheduleWakeup(double delay) {
        later(delay, () -> turn(brain::woken));
    }
}
