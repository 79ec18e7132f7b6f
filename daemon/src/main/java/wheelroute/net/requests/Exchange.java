package wheelroute.net.requests;

import java.util.ArrayList;
import java.util.List;
import wheelroute.decision.EarlierAttempt;
import wheelroute.decision.Ids;
import wheelroute.decision.LoadReport;
import wheelroute.decision.Policy;
import wheelroute.decision.Request;
import wheelroute.decision.RequestHandle;
import wheelroute.net.clients.ClientPresence;
import wheelroute.net.clients.ClientRequest;
import wheelroute.net.clients.ClientResponse;
import wheelroute.net.clients.RequestAcceptor;
import wheelroute.net.history.RequestIdentity;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.metrics.Counters;
import wheelroute.net.workers.AttemptListener;
import wheelroute.net.workers.AttemptRequest;
import wheelroute.net.workers.AttemptResult;
import wheelroute.net.workers.InFlightAttempt;

/**
 * The processing of one accepted request, with its handle in the policy, its attempts and its
 * single final response. Receives the events of the client's connection and of the attempts. Used
 * on the event loop's thread only.
 */
public final class Exchange implements RequestAcceptor.AcceptedRequest {
    private static final int TYPICAL_ATTEMPTS = 2;

    /** The longest wait for other processes after which an attempt is sent as it was decided. */
    private static final double MAX_ANNOUNCEMENT_SECONDS = 0.02;

    private final RequestDispatcher dispatcher;
    private final EventLoop loop;
    private final Request request;
    private AttemptRequest attemptRequest;
    private final RequestAcceptor.ResponseSender client;
    private final List<Attempt> attempts = new ArrayList<>(TYPICAL_ATTEMPTS);
    private final EventLoop.Timer deadlineTimer;

    /** The handle of the request in the policy; null until the policy has accepted the request. */
    private RequestHandle handle;

    /** Whether the final response has been sent, or the client has closed its connection. */
    private boolean answeredOrAbandoned;

    /** What is remembered of the request; null if it may run any number of times. */
    private final AtMostOnceRequest atMostOnce;

    /**
     * Creates an exchange and starts its deadline timer. The caller must then call {@link #begin}.
     *
     * @param atMostOnce what is remembered of the request; null if it may run any number of times
     */
    public Exchange(
            RequestDispatcher dispatcher,
            EventLoop loop,
            Request request,
            ClientRequest message,
            RequestAcceptor.ResponseSender client,
            AtMostOnceRequest atMostOnce) {
        this.dispatcher = dispatcher;
        this.loop = loop;
        this.atMostOnce = atMostOnce;
        this.request = request;
        this.client = client;
        attemptRequest =
                new AttemptRequest(
                        message.method(),
                        message.target(),
                        message.id(),
                        message.idempotencyKey(),
                        message.routeKey(),
                        message.body(),
                        atMostOnce != null);
        deadlineTimer = loop.schedule(request.deadline() - loop.now(), this::onDeadline);
    }

    /** Passes the request to the policy. Must run as a separate event of the policy. */
    public void begin(Policy policy) {
        handle = policy.accept(request);
        // The client's connection has just been checked.
        new ArrayList<>(attempts).forEach(Attempt::prepare);
    }

    /** Whether this exchange is that of a request that must not run twice. */
    boolean isFor(AtMostOnceRequest candidate) {
        return atMostOnce == candidate;
    }

    /** Returns the identity of a request that must not run twice. */
    RequestIdentity identity() {
        return atMostOnce.identity();
    }

    /** Whether the client still waits for the response. */
    boolean isAwaited() {
        return !answeredOrAbandoned;
    }

    /** Ends the request if its client has closed its connection, which may not be read yet. */
    void detectClientGone() {
        if (!answeredOrAbandoned) {
            isClientConnected();
        }
    }

    /** Handles that another process has sent an attempt which this request would repeat. */
    void onEarlierAttempt(EarlierAttempt attempt) {
        dispatcher.runEvent(
                () -> {
                    if (handle != null) {
                        handle.onEarlierAttempt(attempt);
                    }
                });
    }

    /** An attempt of the request, which passes the events of the attempt on to the policy. */
    private final class Attempt implements AttemptListener {
        private final int number;
        private final Ids.Worker worker;

        /** Null until the attempt is sent; remains null if the attempt ends without being sent. */
        private InFlightAttempt inFlight;

        private boolean endedUnsent;

        Attempt(int number, Ids.Worker worker) {
            this.number = number;
            this.worker = worker;
        }

        /** Has the attempt remembered if the request must not run twice, and then sends it. */
        void prepare() {
            if (endedUnsent) {
                return;
            }
            if (atMostOnce == null) {
                send(Double.POSITIVE_INFINITY);
                return;
            }
            List<EarlierAttempt> mayHaveRun = handle.attemptsThatMayHaveRun();
            double sendBefore = atMostOnce.sendBefore(mayHaveRun);
            double announcedAt = loop.now();
            atMostOnce.beforeSend(
                    mayHaveRun,
                    () -> send(sendBefore),
                    () -> dispatcher.runEvent(() -> sendAnnounced(sendBefore, announcedAt)));
        }

        /**
         * Sends the attempt after it was announced. If that took long, the policy decides again, as
         * the client may have left and the worker may be draining.
         */
        private void sendAnnounced(double sendBefore, double announcedAt) {
            if (endedUnsent) {
                return;
            }
            if (loop.now() > announcedAt + MAX_ANNOUNCEMENT_SECONDS) {
                end(AttemptResult.NOT_SENT);
            } else {
                send(sendBefore);
            }
        }

        private void send(double sendBefore) {
            dispatcher.counters().count(Counters.Counter.ATTEMPTS);
            inFlight =
                    dispatcher
                            .workers()
                            .send(worker, attemptRequest, request.deadline(), sendBefore, this);
        }

        void endUnsent() {
            endedUnsent = true;
            onEnded(AttemptResult.NOT_SENT, AttemptListener.NO_RESULT, Double.NaN);
        }

        /** Ends the attempt with a result, unless it has ended. */
        void end(AttemptResult result) {
            if (inFlight != null) {
                inFlight.abort(result);
            } else if (!endedUnsent) {
                endUnsent();
            }
        }

        @Override
        public boolean isStillNeeded() {
            return !answeredOrAbandoned && isClientConnected();
        }

        @Override
        public void onStarted() {
            dispatcher.runEvent(() -> handle.onStarted(number));
        }

        @Override
        public void onProgress(double share) {
            dispatcher.runEvent(() -> handle.onProgress(number, share));
        }

        @Override
        public void onEnded(AttemptResult result, byte[] body, double freeSlots) {
            dispatcher.counters().count(result);
            dispatcher.runEvent(
                    () -> {
                        if (result == AttemptResult.SUCCEEDED && !answeredOrAbandoned) {
                            answer(Counters.FinalAnswer.SUCCEEDED, ClientResponse.succeeded(body));
                        }
                        LoadReport report = new LoadReport(freeSlots);
                        handle.onEnded(number, result.outcome(), answeredOrAbandoned, report);
                        removeIfComplete();
                    });
        }
    }

    /**
     * Sends the next attempt to a worker, unless the drain has ended or the client may have
     * disconnected.
     */
    void startAttempt(Ids.Worker worker) {
        boolean beingAccepted = handle == null;
        Attempt attempt = new Attempt(attempts.size(), worker);
        attempts.add(attempt);
        if (dispatcher.hasDrainEnded()
                || answeredOrAbandoned
                || (!beingAccepted && !isClientConnected())) {
            attempt.endUnsent();
        } else if (!beingAccepted) {
            attempt.prepare();
        }
    }

    /**
     * Returns whether the client is certainly connected, and ends the request if it has closed its
     * connection. The check is needed because the client's end of stream may still be unread after
     * the request has waited.
     */
    private boolean isClientConnected() {
        ClientPresence presence = client.checkPresence();
        if (presence == ClientPresence.GONE) {
            onClientGone();
        }
        return presence == ClientPresence.CONNECTED;
    }

    /** Cancels the attempt with a number, if the attempt has not ended. */
    void cancelAttempt(int number) {
        attempts.get(number).end(AttemptResult.CANCELLED);
    }

    /** Sends the final response, unless one was sent before or the client has disconnected. */
    void answer(Counters.FinalAnswer kind, ClientResponse response) {
        if (!answeredOrAbandoned) {
            markAnsweredOrAbandoned();
            dispatcher.counters().count(request.requestClass(), kind);
            client.send(response);
        }
    }

    /** Records that no response is due any more, and cancels the attempts not yet written. */
    private void markAnsweredOrAbandoned() {
        answeredOrAbandoned = true;
        attemptRequest = attemptRequest.withoutBody();
        dispatcher.onNoLongerPending();
        // The removal is a separate event because the current event may belong to another request.
        // In that case nothing else would remove this request.
        dispatcher.runEvent(this::removeIfComplete);
        for (Attempt attempt : attempts) {
            if (attempt.inFlight == null || !attempt.inFlight.isWritten()) {
                attempt.end(AttemptResult.CANCELLED);
            }
        }
    }

    @Override
    public void onClientGone() {
        dispatcher.runEvent(
                () -> {
                    if (!answeredOrAbandoned) {
                        markAnsweredOrAbandoned();
                        dispatcher.counters().count(Counters.Counter.CLIENTS_GONE);
                        handle.onClientGone();
                    }
                });
    }

    /** Ends the attempts in flight, after which the policy decides on the client's response. */
    public void onDeadline() {
        for (Attempt attempt : new ArrayList<>(attempts)) {
            attempt.end(AttemptResult.TIMED_OUT);
        }
        dispatcher.runEvent(
                () -> {
                    if (!answeredOrAbandoned) {
                        handle.onDeadline();
                    }
                });
        // This is a separate event so that it runs even if the policy throws in the previous one.
        dispatcher.runEvent(
                () -> {
                    if (!answeredOrAbandoned) {
                        // The policy has thrown, so that the effect of the attempts is unknown.
                        answer(Counters.FinalAnswer.FAILED, ClientResponse.failed());
                    }
                    remove();
                });
    }

    private void removeIfComplete() {
        if (answeredOrAbandoned && handle.isComplete()) {
            deadlineTimer.cancel();
            remove();
        }
    }

    private void remove() {
        if (dispatcher.remove(request.id(), attemptRequest.id()) && atMostOnce != null) {
            // Without a handle the policy has thrown while it accepted the request.
            atMostOnce.end(handle == null ? List.of() : handle.attemptsThatMayHaveRun());
        }
    }
}
