package wheelroute.net.requests;

import java.util.List;
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
import wheelroute.net.history.AttemptHistory;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.metrics.Counters;
import wheelroute.net.metrics.Gauges;
import wheelroute.net.workers.WorkerConnectionPools;

/**
 * Connects the policy to the network. Passes what happens on the connections to the policy as
 * events, and carries out the actions that the policy decides on. Used on the event loop's thread
 * only.
 */
public final class RequestDispatcher
        implements ActionHandler, RequestAcceptor, EndpointWatch.Listener {
    private final EventLoop loop;
    private final Counters counters;
    private final WorkerConnectionPools workers;
    private final RequestFactory requestFactory;
    private final Policy policy;
    private final SerialEventQueue events;
    private final OpenRequests openRequests = new OpenRequests();
    private final EndpointDirectory endpoints;
    private final DrainAdmission drainAdmission;
    private final AtMostOnceRequests atMostOnceRequests;
    private final StateTransfer stateTransfer;
    private EndpointWatch watch;
    private ClientServer clients;

    /** The number of accepted requests that are neither answered nor abandoned by their clients. */
    private int pending;

    /**
     * Creates a dispatcher together with its policy.
     *
     * @param maxTimeoutSeconds the maximum timeout of a request; a longer one is reduced to it
     * @param historyBytes the maximum memory of the {@link AttemptHistory}
     * @param maxClients the number of connections of clients that there can be
     */
    public RequestDispatcher(
            EventLoop loop,
            Counters counters,
            WorkerConnectionPools workers,
            Settings settings,
            double maxTimeoutSeconds,
            long historyBytes,
            int maxClients) {
        this.loop = loop;
        this.counters = counters;
        this.workers = workers;
        requestFactory = new RequestFactory(settings, maxTimeoutSeconds);
        policy = new Policy(settings, this);
        policy.advanceTo(loop.now());
        // The endpoint list that a process starts with counts as confirmed when it starts.
        policy.onEndpointsConfirmed();
        events = new SerialEventQueue(() -> policy.advanceTo(loop.now()));
        endpoints = new EndpointDirectory(workers, new StartTimes(loop));
        drainAdmission = new DrainAdmission(loop, settings, openRequests::hasSuccessor);
        AttemptHistory history =
                new AttemptHistory(
                        historyBytes,
                        longestRetentionSeconds(settings, maxTimeoutSeconds),
                        maxClients,
                        settings.seed() ^ System.nanoTime());
        atMostOnceRequests =
                new AtMostOnceRequests(loop, counters, settings, maxTimeoutSeconds, history);
        stateTransfer =
                new StateTransfer(
                        loop,
                        policy,
                        events,
                        endpoints,
                        openRequests.clientIds(),
                        atMostOnceRequests,
                        this::onEndpoints);
    }

    private static double longestRetentionSeconds(Settings settings, double maxTimeoutSeconds) {
        return settings.requestClasses().stream()
                .mapToDouble(
                        requestClass ->
                                AtMostOnceRequests.retentionSeconds(
                                        requestClass, maxTimeoutSeconds))
                .reduce(maxTimeoutSeconds, Math::max);
    }

    /** Sets the endpoint watch, which is started when the policy asks for it. */
    public void setWatch(EndpointWatch newWatch) {
        watch = newWatch;
    }

    /** Replaces the endpoint watch by that of discovery's new address, and starts it. */
    public void replaceWatch(EndpointWatch newWatch) {
        newWatch.startInPlaceOf(watch);
        watch = newWatch;
    }

    /** Sets the server that accepts the connections of clients. */
    public void setClients(ClientServer newClients) {
        clients = newClients;
    }

    /** Sets the handover to the other processes of the dispatcher, or null if there is none. */
    public void setHandover(Handover newHandover) {
        openRequests.setHandover(newHandover);
        atMostOnceRequests.setHandover(newHandover);
    }

    /** Returns the state that can be exported to a successor or imported from a predecessor. */
    public TransferableState transferableState() {
        return stateTransfer;
    }

    /** Runs an event for the policy immediately, or else after the event in progress. */
    public void runEvent(Runnable event) {
        events.run(event);
    }

    Counters counters() {
        return counters;
    }

    WorkerConnectionPools workers() {
        return workers;
    }

    /**
     * Removes a request that has neither a response nor an attempt outstanding; does nothing if it
     * was already removed.
     *
     * @return whether it was removed
     */
    boolean remove(Ids.Request id, String clientId) {
        if (openRequests.get(id) == null) {
            return false;
        }
        openRequests.remove(id, clientId);
        return true;
    }

    /** Records that a pending request has been answered or abandoned. */
    void onNoLongerPending() {
        pending--;
    }

    /**
     * Accepts a request if its message is valid, no request with the same id is open, its deadline
     * has not passed, and it can complete before a shutdown, see {@link DrainAdmission}. The policy
     * may still reject an accepted request.
     */
    @Override
    public AcceptedRequest accept(
            ClientRequest message, double arrivedAt, int connectionNumber, ResponseSender responses)
            throws BadRequestException {
        Settings.RequestClass requestClass = requestFactory.requestClass(message);
        checkIdNotOpen(message);
        AtMostOnceRequest atMostOnce = null;
        if (requestClass.idempotency() != Idempotency.IDEMPOTENT) {
            atMostOnce = atMostOnceRequests.admit(message, requestClass, connectionNumber);
            if (atMostOnce == null) {
                onRejected(message);
                responses.send(ClientResponse.rejected(ClientResponse.NO_RETRY_AFTER));
                return () -> {};
            }
        }
        double deadline = requestFactory.deadline(message, arrivedAt);
        if (deadline <= loop.now()
                || drainAdmission.mustReject(message, requestClass.idempotency())) {
            rejectLate(message, requestClass, atMostOnce, responses);
            return () -> {};
        }
        return open(message, requestClass, deadline, atMostOnce, responses);
    }

    /** Answers a request that cannot end in time. */
    private void rejectLate(
            ClientRequest message,
            Settings.RequestClass requestClass,
            AtMostOnceRequest atMostOnce,
            ResponseSender responses) {
        if (atMostOnce != null) {
            atMostOnce.end(atMostOnce.earlierAttempts());
        }
        if (atMostOnce == null || atMostOnce.mayBeRejected()) {
            onRejected(message);
            responses.send(ClientResponse.rejected(drainAdmission.retryAfterSeconds(0)));
        } else {
            counters.count(Counters.Counter.REQUESTS_NOT_ACCEPTED);
            counters.count(requestClass.id(), Counters.FinalAnswer.FAILED);
            responses.send(ClientResponse.failed());
        }
    }

    private Exchange open(
            ClientRequest message,
            Settings.RequestClass requestClass,
            double deadline,
            AtMostOnceRequest atMostOnce,
            ResponseSender responses) {
        Request request =
                requestFactory.create(
                        message,
                        requestClass,
                        deadline,
                        atMostOnce == null ? List.of() : atMostOnce.earlierAttempts());
        Exchange exchange = new Exchange(this, loop, request, message, responses, atMostOnce);
        openRequests.add(request.id(), message.id(), exchange);
        if (atMostOnce != null) {
            atMostOnceRequests.onOpened(atMostOnce, exchange);
        }
        counters.count(Counters.Counter.REQUESTS_ACCEPTED);
        pending++;
        runEvent(() -> exchange.begin(policy));
        return exchange;
    }

    /** Rejects the id of an open request, because workers identify requests by their ids. */
    private void checkIdNotOpen(ClientRequest message) throws BadRequestException {
        if (openRequests.contains(message.id())) {
            throw new BadRequestException(
                    HttpStatus.CONFLICT_409, "a submission with this id is open");
        }
    }

    @Override
    public void onRejected(ClientRequest message) {
        counters.count(Counters.Counter.REQUESTS_NOT_ACCEPTED);
        Settings.RequestClass requestClass = requestFactory.findRequestClass(message);
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
        return counters.toPrometheusText(gauges());
    }

    /** Returns the current values of the gauges. */
    public Gauges gauges() {
        policy.advanceTo(loop.now());
        return new Gauges(
                openRequests.size(),
                pending,
                clients.openConnections(),
                workers.openConnections(),
                endpoints.size(),
                policy.avoidedEndpointCount(),
                policy.isEndpointLeaseExpired() ? 1 : 0,
                atMostOnceRequests.rememberedRequests());
    }

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
        return openRequests.hasSuccessor();
    }

    /** Sets this dispatcher's shares of the budgets that all dispatchers have in common. */
    public void setShares(DispatcherShares shares) {
        policy.setShares(shares);
    }

    /** Sets the number of processes among which this dispatcher's budgets are divided. */
    public void setProcessCount(int processes) {
        runEvent(() -> policy.setProcessCount(processes));
    }

    @Override
    public void startAttempt(Ids.Request request, Ids.Worker worker, double limitSeconds) {
        openRequests.get(request).startAttempt(worker);
    }

    @Override
    public void reject(Ids.Request request, double retryAfterSeconds) {
        openRequests
                .get(request)
                .answer(
                        Counters.FinalAnswer.REJECTED,
                        ClientResponse.rejected(
                                drainAdmission.retryAfterSeconds(retryAfterSeconds)));
    }

    @Override
    public void fail(Ids.Request request) {
        openRequests.get(request).answer(Counters.FinalAnswer.FAILED, ClientResponse.failed());
    }

    @Override
    public void cancelAttempt(Ids.Request request, int attempt) {
        openRequests.get(request).cancelAttempt(attempt);
    }

    @Override
    public void scheduleWakeup(double delaySeconds) {
        loop.schedule(delaySeconds, () -> runEvent(policy::onWakeup));
    }

    @Override
    public void watchEndpoints() {
        // The start is posted because the constructor of the policy calls this method before
        // setWatch() is called.
        loop.post(() -> watch.start());
    }

    /**
     * Starts draining.
     *
     * @param deadline the time until which open requests may run, on the event loop's clock in
     *     seconds
     */
    public void startDraining(double deadline) {
        drainAdmission.begin(deadline);
    }

    /** Returns the number of requests that are neither answered nor abandoned by their clients. */
    public int pendingRequests() {
        return pending;
    }

    /** Whether the drain has ended, after which every attempt of the policy ends unsent. */
    boolean hasDrainEnded() {
        return drainAdmission.hasEnded();
    }

    /**
     * Ends the drain and all attempts in flight, as if the deadlines of all requests had passed.
     * The policy then decides on the response to each client.
     */
    public void endAllRequests() {
        drainAdmission.end();
        openRequests.all().forEach(Exchange::onDeadline);
    }
}
