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
 * One accepted request: its handle in the policy, its attempts and its single final response. The
 * client's and the workers' side meet here. Only for the event loop's thread.
 */
public final class Exchange implements RequestAcceptor.AcceptedRequest {
    private static final int USUAL_ATTEMPTS = 2;

    private final RequestDispatcher dispatcher;
    private final Request request;
    private final AttemptRequest message;
    private final RequestAcceptor.ResponseSender client;
    private final List<Attempt> attempts = new ArrayList<>(USUAL_ATTEMPTS);
    private final EventLoop.Timer deadlineTimer;

    /** Null until the policy has accepted the request. */
    private RequestHandle handle;

    /** The policy is accepting it: that its client is connected was checked a moment ago. */
    private boolean beingAccepted;

    /** The client has its response, or has gone. */
    private boolean answered;

    /**
     * Starts the deadline's timer; {@link #begin} has to follow.
     *
     * @param atMostOnce whether a second run on a worker might do harm
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

    /** Hands the request to the policy, as an event of its own. */
    public void begin(Policy policy) {
        beingAccepted = true;
        handle = policy.accept(request);
        beingAccepted = false;
    }

    /** One attempt, from its number to its end. */
    private final class Attempt implements AttemptListener {
        private final int number;

        /** Null until it is sent. */
        private InFlightAttempt inFlight;

        Attempt(int number) {
            this.number = number;
        }

        void giveUp(AttemptResult result) {
            if (inFlight != null) {
                inFlight.giveUp(result);
            }
        }

        @Override
        public boolean isStillWanted() {
            return !answered && !hasClientLeft();
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

    /** Sends the next attempt to this worker. */
    void startAttempt(Ids.Worker worker) {
        Attempt attempt = new Attempt(attempts.size());
        attempts.add(attempt);
        if (dispatcher.hasEnded() || (!beingAccepted && hasClientLeft())) {
            attempt.onEnded(AttemptResult.NOT_SENT, AttemptListener.NO_RESULT, Double.NaN);
        } else {
            dispatcher.counters().count(Counters.Counter.ATTEMPTS);
            attempt.inFlight =
                    dispatcher.workers().send(worker, message, request.deadline(), attempt);
        }
    }

    /**
     * Checks for a client that has left, so that no attempt runs for nobody: while the request
     * waited for another attempt's end or for a connection, the client's end of stream may have
     * stayed unread.
     */
    private boolean hasClientLeft() {
        boolean left = client.hasClientLeft();
        if (left) {
            onClientGone();
        }
        return left;
    }

    /** Cancels the attempt of this number, if it has not ended. */
    void cancelAttempt(int number) {
        attempts.get(number).giveUp(AttemptResult.CANCELLED);
    }

    /** Sends the final response, unless there has been one or the client has gone. */
    void answer(Counters.FinalAnswer kind, ClientResponse response) {
        if (!answered) {
            markAnswered();
            dispatcher.counters().count(request.requestClass(), kind);
            client.send(response);
        }
    }

    /** From here on nothing more may be sent: attempts that are not written yet are ended. */
    private void markAnswered() {
        answered = true;
        dispatcher.noLongerPending();
        // Another request's event may have answered this one, which then has no event of its own.
        dispatcher.runEvent(this::removeIfComplete);
        for (Attempt attempt : attempts) {
            if (attempt.inFlight != null && !attempt.inFlight.isWritten()) {
                attempt.giveUp(AttemptResult.CANCELLED);
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
            attempt.giveUp(AttemptResult.TIMED_OUT);
        }
        dispatcher.runEvent(
                () -> {
                    if (!answered) {
                        handle.onDeadline();
                    }
                });
        // An event of its own: a failure in the policy must not take the response with it.
        dispatcher.runEvent(
                () -> {
                    if (!answered) {
                        // Only such a failure leaves it open here; whether it ran is not known.
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
