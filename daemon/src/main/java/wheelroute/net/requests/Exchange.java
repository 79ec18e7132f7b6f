package wheelroute.net.requests;

import java.util.ArrayList;
import java.util.List;
import wheelroute.decision.Ids;
import wheelroute.decision.LoadReport;
import wheelroute.decision.Policy;
import wheelroute.decision.Request;
import wheelroute.decision.RequestHandle;
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
 * One accepted request: its handle in the policy, its attempts and its single final response. It
 * receives the events of the client's connection and of the attempts. Only for the event loop's
 * thread.
 */
public final class Exchange implements RequestAcceptor.AcceptedRequest {
    private static final int TYPICAL_ATTEMPTS = 2;

    private final RequestDispatcher dispatcher;
    private final Request request;
    private final AttemptRequest message;
    private final RequestAcceptor.ResponseSender client;
    private final List<Attempt> attempts = new ArrayList<>(TYPICAL_ATTEMPTS);
    private final EventLoop.Timer deadlineTimer;

    /** Null until the policy has accepted the request. */
    private RequestHandle handle;

    /** Whether the policy is accepting it; the client's connection has only just been checked. */
    private boolean beingAccepted;

    /** Whether the client has been sent its response, or has closed its connection. */
    private boolean answered;

    /**
     * Creates an exchange and starts its deadline timer; {@link #begin} must follow.
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
        this.message =
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

    /** Passes the request to the policy; must run as an event of its own. */
    public void begin(Policy policy) {
        beingAccepted = true;
        handle = policy.accept(request);
        beingAccepted = false;
    }

    /** One attempt of this request; passes its events on to the policy. */
    private final class Attempt implements AttemptListener {
        private final int number;

        /** Null until it is sent; stays null if it ends unsent. */
        private InFlightAttempt inFlight;

        Attempt(int number) {
            this.number = number;
        }

        /** Ends the attempt, if it has been sent and has not ended. */
        void end(AttemptResult result) {
            if (inFlight != null) {
                inFlight.abort(result);
            }
        }

        @Override
        public boolean isStillNeeded() {
            return !answered && !checkClientGone();
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
                        if (result == AttemptResult.SUCCEEDED && !answered) {
                            answer(Counters.FinalAnswer.SUCCEEDED, ClientResponse.succeeded(body));
                        }
                        LoadReport report = new LoadReport(freeSlots);
                        handle.onEnded(number, result.outcome(), answered, report);
                        removeIfComplete();
                    });
        }
    }

    /** Sends the next attempt to this worker, unless the drain has ended or the client has left. */
    void startAttempt(Ids.Worker worker) {
        Attempt attempt = new Attempt(attempts.size());
        attempts.add(attempt);
        if (dispatcher.hasDrainEnded() || (!beingAccepted && checkClientGone())) {
            attempt.onEnded(AttemptResult.NOT_SENT, AttemptListener.NO_RESULT, Double.NaN);
        } else {
            dispatcher.counters().count(Counters.Counter.ATTEMPTS);
            attempt.inFlight =
                    dispatcher.workers().send(worker, message, request.deadline(), attempt);
        }
    }

    /**
     * Checks whether the client has closed its connection, and ends the request if so. While the
     * request was waiting, the client's end of stream may have remained unread.
     */
    private boolean checkClientGone() {
        boolean gone = client.isClientGone();
        if (gone) {
            onClientGone();
        }
        return gone;
    }

    /** Cancels the attempt of this number, if it has not ended. */
    void cancelAttempt(int number) {
        attempts.get(number).end(AttemptResult.CANCELLED);
    }

    /** Sends the final response, unless one has been sent or the client has left. */
    void answer(Counters.FinalAnswer kind, ClientResponse response) {
        if (!answered) {
            markAnswered();
            dispatcher.counters().count(request.requestClass(), kind);
            client.send(response);
        }
    }

    /** Records that no response is due any more, and ends the attempts not yet written. */
    private void markAnswered() {
        answered = true;
        dispatcher.onNoLongerPending();
        // In an event of its own: the current event may be that of another request, after which
        // nothing else would remove this one.
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
                    if (!answered) {
                        markAnswered();
                        dispatcher.counters().count(Counters.Counter.CLIENTS_GONE);
                        handle.onClientGone();
                    }
                });
    }

    /** Ends the attempts in flight; the policy then decides on the client's response. */
    public void onDeadline() {
        for (Attempt attempt : new ArrayList<>(attempts)) {
            attempt.end(AttemptResult.TIMED_OUT);
        }
        dispatcher.runEvent(
                () -> {
                    if (!answered) {
                        handle.onDeadline();
                    }
                });
        // In an event of its own, so that it runs even if the policy throws in the one above.
        dispatcher.runEvent(
                () -> {
                    if (!answered) {
                        // The policy has thrown; whether an attempt had an effect is unknown.
                        answer(Counters.FinalAnswer.FAILED, ClientResponse.failed());
                    }
                    dispatcher.remove(request.id(), message.id());
                });
    }

    private void removeIfComplete() {
        if (answered && handle.isComplete()) {
            deadlineTimer.cancel();
            dispatcher.remove(request.id(), message.id());
        }
    }
}
