package wheelroute.net.requests;

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
import wheelroute.net.handover.TransferableState;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.metrics.Counters;
import wheelroute.net.metrics.Gauges;
import wheelroute.net.workers.WorkerConnectionPools;

/**
 * Connects the policy with the sockets: turns what happens on them into events for the policy, and
 * carries out the actions that it decides on. Only for the event loop's thread.
 */
public final class RequestDispatcher
        implements ActionHandler, RequestAcceptor, EndpointWatch.Listener {
    private final EventLoop loop;
    private final Counters counters;
    private final WorkerConnectionPools workers;
    private final RequestFactory requests;
    private final Policy policy;
    private final SerialEventQueue events;
    private final OpenRequests open = new OpenRequests();
    private final EndpointDirectory endpoints;
    private final DrainAdmission drainAdmission;
    private final StateTransfer stateTransfer;
    private EndpointWatch watch;
    private ClientServer clients;

    /** Requests accepted, and neither answered nor abandoned by their clients. */
    private int pending;

    /**
     * Creates a dispatcher together with its policy.
     *
     * @param maxTimeoutSeconds the longest timeout that a client is granted
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
        requests = new RequestFactory(settings, maxTimeoutSeconds);
        policy = new Policy(settings, this);
        policy.advanceTo(loop.now());
        // The endpoint list that a process starts with is treated as confirmed at the start.
        policy.onEndpointsConfirmed();
        events = new SerialEventQueue(() -> policy.advanceTo(loop.now()));
        endpoints = new EndpointDirectory(workers, new StartTimes(loop));
        drainAdmission = new DrainAdmission(loop, settings, open::hasSuccessor);
        stateTransfer =
                new StateTransfer(
                        loop, policy, events, endpoints, open.clientIds(), this::onEndpoints);
    }

    /** Replaces the endpoint watch; the old one is stopped. */
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

    /** Sets the handover to the dispatcher's other processes; null for none. */
    public void setHandover(Handover newHandover) {
        open.setHandover(newHandover);
    }

    /** Returns the state that is exported to a successor, and imported from a predecessor. */
    public TransferableState transferableState() {
        return stateTransfer;
    }

    // ---- for the exchanges

    /** Runs an event for the policy: immediately, or after the event that is being processed. */
    public void runEvent(Runnable event) {
        events.run(event);
    }

    Counters counters() {
        return counters;
    }

    WorkerConnectionPools workers() {
        return workers;
    }

    /** Removes a request that has nothing outstanding. */
    void remove(Ids.Request id, String clientId) {
        open.remove(id, clientId);
    }

    /** Records that a pending request has been answered or abandoned. */
    void onNoLongerPending() {
        pending--;
    }

    // ---- from the clients

    /**
     * Accepts a request if its message is valid, no request with its id is open, its deadline has
     * not passed, and it can complete before a shutdown, see {@link DrainAdmission}. An accepted
     * request may still be rejected by the policy.
     */
    @Override
    public AcceptedRequest accept(ClientRequest message, double arrivedAt, ResponseSender responses)
            throws BadRequestException {
        Settings.RequestClass requestClass = requests.requestClass(message);
        rejectOpenId(message);
        double deadline = requests.deadline(message, arrivedAt);
        if (deadline <= loop.now()
                || drainAdmission.mustReject(message, requestClass.idempotency())) {
            onRejected(message);
            responses.send(ClientResponse.rejected(drainAdmission.retryAfterSeconds(0)));
            return () -> {};
        }
        Request request = requests.create(message, requestClass, deadline);
        boolean atMostOnce = requestClass.idempotency() != Idempotency.IDEMPOTENT;
        Exchange exchange = new Exchange(this, loop, request, message, responses, atMostOnce);
        open.add(request.id(), message.id(), exchange);
        counters.count(Counters.Counter.REQUESTS_ACCEPTED);
        pending++;
        runEvent(() -> exchange.begin(policy));
        return exchange;
    }

    /** Rejects a message whose id is open: workers know requests by this id. */
    private void rejectOpenId(ClientRequest message) throws BadRequestException {
        if (open.contains(message.id())) {
            throw new BadRequestException(
                    HttpStatus.CONFLICT_409, "a submission with this id is open");
        }
    }

    @Override
    public void onRejected(ClientRequest message) {
        counters.count(Counters.Counter.REQUESTS_NOT_ACCEPTED);
        Settings.RequestClass requestClass = requests.findRequestClass(message);
        if (requestClass != null) {
            counters.count(requestClass.id(), Counters.FinalAnswer.REJECTED);
        }
    }

    @Override
    public boolean isDraining() {
        return drainAdmission.isDraining();
    }

    @Override
    public boolean closesAfterResponse() {
        return drainAdmission.closesAfterResponse();
    }

    @Override
    public String metrics() {
        return counters.text(gauges());
    }

    /** Returns the gauges' current values. */
    public Gauges gauges() {
        policy.advanceTo(loop.now());
        return new Gauges(
                open.size(),
                pending,
                clients.openConnections(),
                workers.openConnections(),
                endpoints.size(),
                policy.avoidedEndpointCount(),
                policy.isEndpointLeaseExpired() ? 1 : 0);
    }

    // ---- from discovery, and from the other processes and dispatchers

    @Override
    public void onEndpoints(EndpointList list) {
        EndpointDirectory.Update update = endpoints.apply(list);
        runEvent(() -> policy.onEndpoints(update.endpoints(), list.complete()));
        endpoints.releaseObsolete(update);
    }

    @Override
    public void onConfirmed() {
        runEvent(policy::onEndpointsConfirmed);
    }

    @Override
    public void onOverloaded() {
        runEvent(policy::onDiscoveryOverloaded);
    }

    /** Whether a successor process accepts clients in place of this one. */
    public boolean hasSuccessor() {
        return open.hasSuccessor();
    }

    /** Sets the division of the common budgets among the dispatchers. */
    public void setShares(DispatcherShares shares) {
        policy.setShares(shares);
    }

    /** Divides this dispatcher's budgets among its processes. */
    public void setProcessCount(int processes) {
        runEvent(() -> policy.setProcessCount(processes));
    }

    // ---- from the policy

    @Override
    public void startAttempt(Ids.Request request, Ids.Worker worker, double limitSeconds) {
        open.get(request).startAttempt(worker);
    }

    @Override
    public void reject(Ids.Request request, double retryAfterSeconds) {
        open.get(request)
                .answer(
                        Counters.FinalAnswer.REJECTED,
                        ClientResponse.rejected(
                                drainAdmission.retryAfterSeconds(retryAfterSeconds)));
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
    public void scheduleWakeup(double delaySeconds) {
        loop.schedule(delaySeconds, () -> runEvent(policy::onWakeup));
    }

    @Override
    public void watchEndpoints() {
        // Posted, because the policy first calls this from its constructor, before setWatch().
        loop.post(() -> watch.start());
    }

    // ---- graceful shutdown

    /**
     * Starts draining.
     *
     * @param deadline on the event loop's clock, in seconds, until which open requests may run
     */
    public void startDraining(double deadline) {
        drainAdmission.begin(deadline);
    }

    /** Returns the number of requests that are neither answered nor abandoned by their clients. */
    public int pendingRequests() {
        return pending;
    }

    /** Whether the drain is over: every further attempt ends unsent, so that the policy answers. */
    boolean hasDrainEnded() {
        return drainAdmission.hasEnded();
    }

    /**
     * Ends the drain and all attempts in flight, as at their deadline; the policy then decides on
     * each client's response.
     */
    public void endAllRequests() {
        drainAdmission.end();
        open.all().forEach(Exchange::onDeadline);
    }
}
