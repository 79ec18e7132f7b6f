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

    private final RequestDispatcher dispatcher;
    private final Request request;
    private AttemptRequest attemptRequest;
    private final RequestAcceptor.ResponseSender client;
    private final List<Attempt> attempts = new ArrayList<>(TYPICAL_ATTEMPTS);
    private final EventLoop.Timer deadlineTimer;

    /** The handle of the request in the policy; null until the policy has accepted the request. */
    private RequestHandle handle;

    /**
     * Whether the policy is accepting the request. Attempts that start during that time need no
     * check of the client's connection, which has just been checked.
     */
    private boolean beingAccepted;

    /** Whether the final response has been sent, or the client has closed its connection. */
    private boolean answeredOrAbandoned;

    /**
     * Creates an exchange and starts its deadline timer. The caller must then call {@link #begin}.
     *
     * @param atMostOnce whether a second run on a worker could have a second effect
     */
    public Exchange(
            RequestDispatcher dispatcher,
            EventLoop loop,
            Request request,
            ClientRequest message,
            RequestAcceptor.ResponseSender client,
            boolean atMostOnce) {
        this.dispatcher = dispatcher;
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
                        atMostOnce);
        deadlineTimer = loop.schedule(request.deadline() - loop.now(), this::onDeadline);
    }

    /** Passes the request to the policy. Must run as a separate event of the policy. */
    public void begin(Policy policy) {
        beingAccepted = true;
        handle = policy.accept(request);
        beingAccepted = false;
    }

    /** An attempt of the request, which passes the events of the attempt on to the policy. */
    private final class Attempt implements AttemptListener {
        private final int number;

        /** Null until the attempt is sent; remains null if the attempt ends without being sent. */
        private InFlightAttempt inFlight;

        Attempt(int number) {
            this.number = number;
        }

        /** Ends the attempt with a result, if the attempt was sent and has not ended. */
        void end(AttemptResult result) {
            if (inFlight != null) {
                inFlight.abort(result);
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
        Attempt attempt = new Attempt(attempts.size());
        attempts.add(attempt);
        if (dispatcher.hasDrainEnded()
                || answeredOrAbandoned
                || (!beingAccepted && !isClientConnected())) {
            attempt.onEnded(AttemptResult.NOT_SENT, AttemptListener.NO_RESULT, Double.NaN);
        } else {
            dispatcher.counters().count(Counters.Counter.ATTEMPTS);
            attempt.inFlight =
                    dispatcher.workers().send(worker, attemptRequest, request.deadline(), attempt);
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
            if (attempt.inFlight != null && !attempt.inFlight.isWritten()) {
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
        // Without a handle the policy has thrown while it accepted the request.
        List<EarlierAttempt> attempts =
                attemptRequest.atMostOnce() && handle != null
                        ? handle.attemptsThatMayHaveRun()
                        : List.of();
        dispatcher.remove(request.id(), attemptRequest.id(), attempts);
    }
}
