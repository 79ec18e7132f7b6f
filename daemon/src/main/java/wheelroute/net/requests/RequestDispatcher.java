package wheelroute.net.requests;

import java.util.HashMap;
import java.util.Map;
import org.eclipse.jetty.http.HttpStatus;
import wheelroute.decision.ActionHandler;
import wheelroute.decision.DispatcherShares;
import wheelroute.decision.Idempotency;
import wheelroute.decision.Ids;
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
import wheelroute.net.loop.EventLoop;
import wheelroute.net.metrics.Counters;
import wheelroute.net.metrics.Gauges;
import wheelroute.net.workers.WorkerConnectionPools;

/**
 * Connects the policy with the sockets: turns what happens there into events for the policy, and
 * carries out the actions that it decides on. Only for the event loop's thread.
 */
public final class RequestDispatcher
        implements ActionHandler, RequestAcceptor, EndpointWatch.Listener {
    /**
     * Seconds kept back of a client's timeout, so that the response reaches it in time: on a busy
     * core the message may have lain unread for tens of milliseconds.
     */
    private static final double RESPONSE_MARGIN = 0.08;

    /** The margin is at most this fraction of the timeout. */
    private static final double MAX_RESPONSE_MARGIN_FRACTION = 0.1;

    /** Tenants without a quota share one: clients must not fill memory with names. */
    private static final Ids.Tenant OTHER_TENANTS = new Ids.Tenant("");

    private final EventLoop loop;
    private final Counters counters;
    private final WorkerConnectionPools workers;
    private final double maxTimeoutSeconds;
    private final Map<String, Settings.RequestClass> requestClasses = new HashMap<>();
    private final Map<String, Ids.Tenant> tenants = new HashMap<>();
    private final Policy policy;
    private final SerialEventQueue turns;
    private final OpenRequests open = new OpenRequests();
    private final EndpointDirectory endpoints;
    private final DrainAdmission admission;
    private final StateTransfer stateTransfer;
    private EndpointWatch watch;
    private ClientServer clients;

    /** Requests accepted, and neither answered nor abandoned by their clients. */
    private int pending;

    private long lastRequestId;

    /**
     * Makes the policy, too.
     *
     * @param maxTimeoutSeconds the longest timeout, in seconds, that a client is granted
     */
    public RequestDispatcher(
            EventLoop loop,
            Counters counters,
            WorkerConnectionPools workers,
            Settings settings,
            double maxTimeoutSeconds) {
        this.loop = loop;
        this.counters = counters;
        this.workers = workers;
        this.maxTimeoutSeconds = maxTimeoutSeconds;
        for (Settings.RequestClass requestClass : settings.requestClasses()) {
            requestClasses.put(requestClass.id().name(), requestClass);
        }
        settings.quotas().keySet().forEach(tenant -> tenants.put(tenant.name(), tenant));
        policy = new Policy(settings, this);
        policy.advanceTo(loop.now());
        // What a process is started with counts as known no sooner than if it were confirmed now.
        policy.onEndpointsConfirmed();
        turns = new SerialEventQueue(() -> policy.advanceTo(loop.now()));
        endpoints = new EndpointDirectory(workers, new StartTimes(loop));
        admission = new DrainAdmission(loop, settings, open::hasSuccessor);
        stateTransfer =
                new StateTransfer(
                        loop, policy, turns, endpoints, open.clientIds(), this::onEndpoints);
    }

    /** Replaces the watch; the old one is stopped. */
    public void setWatch(EndpointWatch newWatch) {
        if (watch != null) {
            watch.stop();
        }
        watch = newWatch;
    }

    /** Sets the server that client connections come from. */
    public void setClients(ClientServer newClients) {
        clients = newClients;
    }

    /** Sets the handover to other processes of this dispatcher. */
    public void setHandover(Handover newHandover) {
        open.setHandover(newHandover);
    }

    /** What a successor process is given, and a predecessor's goes to. */
    public Handover.TransferableState transferableState() {
        return stateTransfer;
    }

    // ---- for the exchanges

    /** Runs an event for the policy: at once, or after the one that is being decided on. */
    public void runEvent(Runnable event) {
        turns.run(event);
    }

    Counters counters() {
        return counters;
    }

    WorkerConnectionPools workers() {
        return workers;
    }

    /** Forgets a request that has nothing outstanding. */
    void remove(Ids.Request id, String clientId) {
        open.remove(id, clientId);
    }

    void noLongerPending() {
        pending--;
    }

    // ---- from the clients

    @Override
    public AcceptedRequest accept(ClientRequest message, double arrivedAt, ResponseSender responses)
            throws BadRequestException {
        Settings.RequestClass requestClass = validated(message);
        double deadline = deadline(message, arrivedAt);
        if (deadline <= loop.now() || admission.mustReject(message, requestClass.idempotency())) {
            onRejected(message);
            responses.send(ClientResponse.rejected(admission.retryAfter(0)));
            return () -> {};
        }
        Request request = request(message, requestClass, deadline);
        boolean atMostOnce = requestClass.idempotency() != Idempotency.IDEMPOTENT;
        Exchange exchange = new Exchange(this, loop, request, message, responses, atMostOnce);
        open.add(request.id(), message.id(), exchange);
        counters.count(Counters.Counter.REQUESTS_ACCEPTED);
        pending++;
        runEvent(() -> exchange.begin(policy));
        return exchange;
    }

    private Settings.RequestClass validated(ClientRequest message) throws BadRequestException {
        Settings.RequestClass requestClass = requestClasses.get(message.requestClass());
        if (requestClass == null) {
            throw new BadRequestException(HttpStatus.NOT_FOUND_404, "no such offering");
        }
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                && message.idempotencyKey() == null) {
            throw new BadRequestException(
                    HttpStatus.BAD_REQUEST_400, "this offering needs an Idempotency-Key");
        }
        if (open.contains(message.id())) {
            // Workers know requests by this id: a second one might be taken for the first.
            throw new BadRequestException(
                    HttpStatus.CONFLICT_409, "a submission with this id is open");
        }
        return requestClass;
    }

    private double deadline(ClientRequest message, double arrivedAt) {
        double margin = Math.min(RESPONSE_MARGIN, MAX_RESPONSE_MARGIN_FRACTION * message.timeout());
        return arrivedAt + Math.min(message.timeout(), maxTimeoutSeconds) - margin;
    }

    private Request request(
            ClientRequest message, Settings.RequestClass requestClass, double deadline) {
        return new Request(
                new Ids.Request(++lastRequestId),
                requestClass.id(),
                tenants.getOrDefault(message.tenant(), OTHER_TENANTS),
                deadline,
                message.estimatedWork(),
                message.slots(),
                message.memory(),
                message.clientRetry(),
                message.routeKey() == null ? null : new Ids.Key(message.routeKey()));
    }

    @Override
    public void onRejected(ClientRequest message) {
        counters.count(Counters.Counter.REQUESTS_NOT_ACCEPTED);
        Settings.RequestClass requestClass = requestClasses.get(message.requestClass());
        if (requestClass != null) {
            counters.count(requestClass.id(), Counters.FinalAnswer.REJECTED);
        }
    }

    @Override
    public boolean isDraining() {
        return admission.isDraining();
    }

    @Override
    public boolean closesAfterResponse() {
        return admission.closesAfterResponse();
    }

    @Override
    public String metrics() {
        return counters.text(gauges());
    }

    /** Returns the gauges' present values. */
    public Gauges gauges() {
        policy.advanceTo(loop.now());
        return new Gauges(
                open.size(),
                pending,
                clients.open(),
                workers.open(),
                endpoints.size(),
                policy.avoidedEndpoints(),
                policy.isEndpointLeaseExpired() ? 1 : 0);
    }

    // ---- from discovery, and from the other processes and dispatchers

    @Override
    public void onEndpoints(EndpointList list) {
        EndpointDirectory.Update update = endpoints.apply(list);
        runEvent(() -> policy.onEndpoints(update.endpoints(), list.complete()));
        endpoints.settle(update);
    }

    @Override
    public void onConfirmed() {
        runEvent(policy::onEndpointsConfirmed);
    }

    @Override
    public void onOverloaded() {
        runEvent(policy::onDiscoveryOverloaded);
    }

    /** Whether another process accepts clients in this one's place. */
    public boolean hasSuccessor() {
        return open.hasSuccessor();
    }

    /** Divides the common budgets among the dispatchers. */
    public void setShares(DispatcherShares shares) {
        policy.setShares(shares);
    }

    /** Divides this dispatcher's budgets among its processes. */
    public void setProcessCount(int processes) {
        runEvent(() -> policy.setProcessCount(processes));
    }

    // ---- from the policy

    @Override
    public void startAttempt(Ids.Request request, Ids.Worker worker, double deadline) {
        open.get(request).startAttempt(worker);
    }

    @Override
    public void reject(Ids.Request request, double retryAfter) {
        open.get(request)
                .answer(
                        Counters.FinalAnswer.REJECTED,
                        ClientResponse.rejected(admission.retryAfter(retryAfter)));
    }

    @Override
    public void fail(Ids.Request request) {
        open.get(request).answer(Counters.FinalAnswer.FAILED, ClientResponse.failed());
    }

    @Override
    public void cancelAttempt(Ids.Request request, int attempt) {
        open.get(request).cancelAttempt(attempt);
    }

    @Override
    public void scheduleWakeup(double delay) {
        loop.schedule(delay, () -> runEvent(policy::onWakeup));
    }

    @Override
    public void watchEndpoints() {
        // The first call comes while the policy is being made, before there is a watch.
        loop.post(() -> watch.start());
    }

    // ---- graceful shutdown

    /**
     * Starts to drain.
     *
     * @param end Unix time in seconds at which requests in flight are given up
     */
    public void drain(double end) {
        admission.begin(end);
    }

    /** Requests that are neither answered nor abandoned by their clients. */
    public int unanswered() {
        return pending;
    }

    /** From here on every attempt ends unsent, so that the policy has to answer. */
    boolean hasEnded() {
        return admission.hasEnded();
    }

    /** Ends all attempts in flight; the policy then decides on each client's response. */
    public void giveUpAll() {
        admission.end();
        open.all().forEach(Exchange::onDeadline);
    }
}
