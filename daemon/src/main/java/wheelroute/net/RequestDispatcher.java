package wheelroute.net;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.eclipse.jetty.http.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.decision.ActionHandler;
import wheelroute.decision.DispatcherShares;
import wheelroute.decision.Endpoint;
import wheelroute.decision.Idempotency;
import wheelroute.decision.Ids;
import wheelroute.decision.LearnedState;
import wheelroute.decision.Policy;
import wheelroute.decision.Request;
import wheelroute.decision.Settings;
import wheelroute.net.clients.BadRequestException;
import wheelroute.net.clients.ClientRequest;
import wheelroute.net.clients.ClientResponse;
import wheelroute.net.clients.ClientServer;
import wheelroute.net.clients.RequestAcceptor;
import wheelroute.net.discovery.EndpointList;
import wheelroute.net.discovery.EndpointWatch;
import wheelroute.net.handover.Handover;
import wheelroute.net.handover.LearnedStateCodec;
import wheelroute.net.workers.WorkerConnectionPools;

/**
 * Drives the decisions: every event is one turn, and what a turn brings about waits for the next.
 */
final class RequestDispatcher
        implements ActionHandler,
                RequestAcceptor,
                EndpointWatch.Listener,
                Handover.TransferableState {
    /**
     * Kept back of what a client says it will wait, but no more than that part of it: on a busy
     * core the message may have lain unread for tens of milliseconds, and the answer must still
     * reach the client.
     */
    private static final double ANSWER_MARGIN = 0.08;

    private static final double ANSWER_MARGIN_PART = 0.1;

    /**
     * While draining, a submission is taken if so many times its hint still fit in: hints are off
     * by a factor of two either way, and one that can be bounced in the end loses nothing by the
     * try.
     */
    private static final double DRAIN_STRETCH = 0.6;

    private static final double DRAIN_STRETCH_ONCE = 1.5;
    private static final double DRAIN_WAIT = 0.1;

    /**
     * From the drain's end until a restarted dispatcher serves again, with the platform's share of
     * it.
     */
    private static final double RESTART = 2;

    private static final Logger LOG = LoggerFactory.getLogger(RequestDispatcher.class);

    private final EventLoop loop;
    private final Counters counters;
    private final WorkerConnectionPools workers;
    private final Settings settings;

    /** Guards against a client that would have its place held for ever. */
    private final double longestOuterLimit;

    private final Policy policy;
    private final ArrayDeque<Runnable> turns = new ArrayDeque<>();
    private final Map<Ids.Request, Exchange> open = new HashMap<>();
    private final Map<String, Member> members = new HashMap<>();

    /** The ids under which clients know the open ones. */
    private final Set<String> openIds = new HashSet<>();

    private final Map<String, Settings.RequestClass> offerings = new HashMap<>();
    private final Map<String, Ids.Tenant> tenants = new HashMap<>();
    private EndpointWatch watch;

    /** Taken, and neither answered nor left by their clients. */
    private int pending;

    private boolean deciding;
    private boolean draining;
    private double drainEnd;
    private boolean ended;
    private long lastSubmission;
    private long lastWorker;
    private ClientServer clients;

    /** Null where no process can take another's place. */
    private Handover handover;

    private long version = EndpointWatch.NOTHING;

    /** A worker on the list: its entry there, and the name that the decisions have for it. */
    private record Member(Ids.Worker worker, EndpointList.Entry entry) {}

    RequestDispatcher(
            EventLoop loop,
            Counters counters,
            WorkerConnectionPools workers,
            Settings settings,
            double longestOuterLimit) {
        this.loop = loop;
        this.counters = counters;
        this.workers = workers;
        this.settings = settings;
        this.longestOuterLimit = longestOuterLimit;
        for (Settings.RequestClass offering : settings.requestClasses()) {
            offerings.put(offering.id().name(), offering);
        }
        settings.quotas().keySet().forEach(tenant -> tenants.put(tenant.name(), tenant));
        policy = new Policy(settings, this);
        policy.advanceTo(loop.now());
    }

    /**
     * Runs an event as soon as no other is being decided on: at once, or after the one that caused
     * it.
     */
    void turn(Runnable event) {
        turns.add(event);
        if (deciding) {
            return;
        }
        deciding = true;
        try {
            for (Runnable next = turns.poll(); next != null; next = turns.poll()) {
                policy.advanceTo(loop.now());
                run(next);
            }
        } finally {
            deciding = false;
        }
    }

    /** Guards against one faulty decision that takes all other submissions with it. */
    private static void run(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            LOG.warn("a decision failed", e);
        }
    }

    Counters counters() {
        return counters;
    }

    WorkerConnectionPools workers() {
        return workers;
    }

    void remove(Ids.Request id, String clientsId) {
        if (open.remove(id) != null) {
            openIds.remove(clientsId);
            if (handover != null) {
                handover.over(clientsId);
            }
        }
    }

    // ---- from the clients

    @Override
    public AcceptedRequest accept(ClientRequest message, double cameAt, ResponseSender answers)
            throws BadRequestException {
        Settings.RequestClass offering = offerings.get(message.requestClass());
        if (offering == null) {
            throw new BadRequestException(HttpStatus.NOT_FOUND_404, "no such offering");
        }
        if (offering.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                && message.idempotencyKey() == null) {
            throw new BadRequestException(
                    HttpStatus.BAD_REQUEST_400, "this offering needs an Idempotency-Key");
        }
        if (openIds.contains(message.id())
                || (handover != null && handover.isOpenElsewhere(message.id()))) {
            // Workers know jobs by it: a second would be told the first one's end, or spoil its
            // connection.
            throw new BadRequestException(
                    HttpStatus.CONFLICT_409, "a submission with this id is open");
        }
        double margin = Math.min(ANSWER_MARGIN, ANSWER_MARGIN_PART * message.timeout());
        double limit = cameAt + Math.min(message.timeout(), longestOuterLimit) - margin;
        if (limit <= loop.now() || mustComeBack(message, offering)) {
            onRejected(message);
            answers.send(ClientResponse.bounced(adviceFor(0)));
            return () -> {};
        }
        // Tenants without a share need no name of their own: a client must not fill memory with
        // names.
        Ids.Tenant tenant = tenants.getOrDefault(message.tenant(), new Ids.Tenant(""));
        Request submission =
                new Request(
                        new Ids.Request(++lastSubmission),
                        offering.id(),
                        tenant,
                        limit,
                        message.estimatedWork(),
                        message.slots(),
                        message.memory(),
                        message.clientRetry(),
                        message.routeKey() == null ? null : new Ids.Key(message.routeKey()));
        Exchange exchange =
                new Exchange(
                        this,
                        loop,
                        submission,
                        message,
                        answers,
                        offering.idempotency() != Idempotency.IDEMPOTENT);
        open.put(submission.id(), exchange);
        openIds.add(message.id());
        if (handover != null) {
            handover.opened(message.id());
        }
        counters.count(Counters.Counter.REQUESTS_ACCEPTED);
        pending++;
        turn(() -> exchange.begin(policy));
        return exchange;
    }

    @Override
    public boolean isDraining() {
        return draining;
    }

    @Override
    public String metrics() {
        return counters.text(gauges());
    }

    Gauges gauges() {
        policy.advanceTo(loop.now());
        return new Gauges(
                open.size(),
                pending,
                clients.open(),
                workers.open(),
                members.size(),
                policy.avoidedEndpoints());
    }

    @Override
    public void onRejected(ClientRequest message) {
        counters.count(Counters.Counter.REQUESTS_NOT_ACCEPTED);
        Settings.RequestClass offering = offerings.get(message.requestClass());
        if (offering != null) {
            counters.count(offering.id(), Counters.FinalAnswer.REJECTED);
        }
    }

    // ---- from discovery

    /** The watch from now on: what another one may still bring counts for nothing. */
    void watch(EndpointWatch newWatch) {
        if (watch != null) {
            watch.stop();
        }
        watch = newWatch;
    }

    void clients(ClientServer newClients) {
        clients = newClients;
    }

    @Override
    public void onEndpoints(EndpointList list) {
        List<Endpoint> entries = new ArrayList<>();
        Map<String, Ids.Worker> lost = new HashMap<>();
        List<Ids.Worker> draining = new ArrayList<>();
        if (list.complete()) {
            members.forEach((name, member) -> lost.put(name, member.worker));
        }
        version = list.version();
        for (EndpointList.Entry entry : list.entries()) {
            Member known = members.get(entry.id());
            Ids.Worker worker = known != null ? known.worker : new Ids.Worker(++lastWorker);
            members.put(entry.id(), new Member(worker, entry));
            if (entry.state() == Endpoint.State.REMOVED) {
                lost.put(entry.id(), worker);
            } else {
                lost.remove(entry.id());
                workers.listed(worker, entry.address(), entry.startedAt());
                if (entry.state() == Endpoint.State.DRAINING) {
                    draining.add(worker);
                }
            }
            entries.add(
                    new Endpoint(
                            worker,
                            new Ids.Model(entry.model()),
                            entry.weight(),
                            new Ids.Zone(entry.zone()),
                            entry.startedAt(),
                            new Ids.Cell(entry.cell()),
                            entry.state()));
        }
        turn(() -> policy.onEndpoints(entries, list.complete()));
        workers.settle(draining);
        lost.forEach(
                (name, worker) -> {
                    workers.gone(worker);
                    // Releases bring new names for ever; one that comes back is a new worker to the
                    // decisions.
                    members.remove(name);
                });
    }

    // ---- from another process of this dispatcher

    void handover(Handover newHandover) {
        handover = newHandover;
    }

    /** Another process takes clients in this one's place. */
    boolean isSucceeded() {
        return handover != null && handover.hasSuccessor();
    }

    @Override
    public String exportEndpoints() {
        return version == EndpointWatch.NOTHING
                ? null
                : new EndpointList(
                                version,
                                true,
                                members.values().stream().map(Member::entry).toList())
                        .encode();
    }

    /** Discovery's own word may have come in the meantime, and is the newer one. */
    @Override
    public void importEndpoints(byte[] list) throws IOException {
        EndpointList told = EndpointList.decode(list);
        if (told.version() > version) {
            onEndpoints(told);
        }
    }

    @Override
    public String exportLearnedState() {
        policy.advanceTo(loop.now());
        Map<Ids.Worker, String> names = new HashMap<>();
        members.forEach((name, member) -> names.put(member.worker, name));
        return LearnedStateCodec.encode(policy.exportState(), names::get);
    }

    @Override
    public void importLearnedState(byte[] learned) throws IOException {
        LearnedState told =
                LearnedStateCodec.decode(
                        learned,
                        name -> members.containsKey(name) ? members.get(name).worker : null);
        turn(() -> policy.importState(told));
    }

    @Override
    public Iterable<String> openRequestIds() {
        return new ArrayList<>(openIds);
    }

    void sharedIn(DispatcherShares division) {
        policy.setShares(division);
    }

    void sharedBy(int processes) {
        turn(() -> policy.setProcessCount(processes));
    }

    // ---- from the decisions

    @Override
    public void startAttempt(Ids.Request submission, Ids.Worker worker, double limit) {
        open.get(submission).launch(worker);
    }

    @Override
    public void reject(Ids.Request submission, double retryAfter) {
        open.get(submission)
                .answer(
                        Counters.FinalAnswer.REJECTED,
                        ClientResponse.bounced(adviceFor(retryAfter)));
    }

    @Override
    public void fail(Ids.Request submission) {
        open.get(submission).answer(Counters.FinalAnswer.FAILED, ClientResponse.scrapped());
    }

    @Override
    public void cancelAttempt(Ids.Request submission, int launch) {
        open.get(submission).cancel(launch);
    }

    @Override
    public void scheduleWakeup(double delay) {
        loop.schedule(delay, () -> turn(policy::onWakeup));
    }

    @Override
    public void watchEndpoints() {
        // The first comes while the policy is being made, before there is a watch.
        loop.post(() -> watch.watch());
    }

    // ---- the end

    void drain(double end) {
        draining = true;
        drainEnd = end;
    }

    /**
     * Where there are other dispatchers clients are sent to them. One that is alone serves on until
     * its end: who loses a connection to it finds nobody else, and cannot come back before it is up
     * again.
     */
    private boolean servesOn() {
        return draining && settings.dispatchers() <= 1 && !isSucceeded();
    }

    @Override
    public boolean closesAfterResponse() {
        return draining && (!servesOn() || ended);
    }

    /**
     * Whether it had better come back when this drain of a dispatcher alone is over, or ask the
     * process that has taken this one's place: the hint is rough and there may be a queue, but it
     * is unlikely to end here.
     */
    private boolean mustComeBack(ClientRequest message, Settings.RequestClass offering) {
        if ((!servesOn() && !(draining && isSucceeded())) || ended) {
            return false;
        }
        double stretch =
                offering.idempotency() == Idempotency.IDEMPOTENT
                        ? DRAIN_STRETCH
                        : DRAIN_STRETCH_ONCE;
        double run =
                Double.isNaN(message.estimatedWork())
                        ? Double.POSITIVE_INFINITY
                        : message.estimatedWork();
        return loop.now() + stretch * run + DRAIN_WAIT > drainEnd;
    }

    /**
     * Guards against retries used up while nobody listens: who is bounced may come back when we are
     * up.
     */
    private double adviceFor(double retryAfter) {
        if (!servesOn() || !settings.sendsRetryAfter()) {
            return retryAfter;
        }
        return Math.min(settings.maxRetryAfter(), drainEnd + RESTART - loop.now());
    }

    int unanswered() {
        return pending;
    }

    void noLongerPending() {
        pending--;
    }

    /** From here on every launch ends unsent, so that the decisions are left with an answer. */
    boolean hasEnded() {
        return ended;
    }

    /** No more time: what is out is ended, and the decisions say what each client is told. */
    void giveUpAll() {
        ended = true;
        new ArrayList<>(open.values()).forEach(Exchange::outOfTime);
    }
}
