package wheelroute.net;

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
import wheelroute.net.workers.AttemptListener;
import wheelroute.net.workers.AttemptRequest;
import wheelroute.net.workers.InFlightAttempt;

/**
 * One submission: its handle, its launches and its single final answer. Client and worker side meet
 * here.
 */
final class Exchange implements RequestAcceptor.AcceptedRequest {
    private final RequestDispatcher exchanges;
    private final Request submission;
    private final AttemptRequest message;
    private final RequestAcceptor.ResponseSender client;
    private final List<ExchangeAttempt> launches = new ArrayList<>(2);
    private final EventLoop.Timer limit;
    private RequestHandle handle;

    /** It has just been taken: that its client is there was seen a moment ago. */
    private boolean beginning;

    private boolean answered;

    Exchange(
            RequestDispatcher exchanges,
            EventLoop loop,
            Request submission,
            ClientRequest message,
            RequestAcceptor.ResponseSender client,
            boolean onceOnly) {
        this.exchanges = exchanges;
        this.submission = submission;
        this.client = client;
        this.message =
                new AttemptRequest(
                        message.method(),
                        message.target(),
                        message.id(),
                        message.idempotencyKey(),
                        message.routeKey(),
                        message.body(),
                        onceOnly);
        limit = loop.schedule(submission.deadline() - loop.now(), this::outOfTime);
    }

    /** Decides where it goes. */
    void begin(Policy policy) {
        beginning = true;
        handle = policy.accept(submission);
        beginning = false;
    }

    /** One launch, from its number to its end. */
    private final class ExchangeAttempt implements AttemptListener {
        private final int number;
        private InFlightAttempt flight;

        ExchangeAttempt(int number) {
            this.number = number;
        }

        void giveUp(AttemptResult end) {
            if (flight != null) {
                flight.giveUp(end);
            }
        }

        @Override
        public boolean isStillWanted() {
            return !answered && !clientLeft();
        }

        @Override
        public void onStarted() {
            exchanges.turn(() -> handle.onStarted(number));
        }

        @Override
        public void onProgress(double share) {
            exchanges.turn(() -> handle.onProgress(number, share));
        }

        @Override
        public void onEnded(AttemptResult end, byte[] result, double freeSlots) {
            exchanges.counters().count(end);
            exchanges.turn(
                    () -> {
                        if (end == AttemptResult.SUCCEEDED && !answered) {
                            answer(
                                    Counters.FinalAnswer.SUCCEEDED,
                                    ClientResponse.fulfilled(result));
                        }
                        handle.onEnded(number, end.outcome(), answered, new LoadReport(freeSlots));
                        closeIfOver();
                    });
        }
    }

    void launch(Ids.Worker worker) {
        ExchangeAttempt launch = new ExchangeAttempt(launches.size());
        launches.add(launch);
        if (exchanges.hasEnded() || (!beginning && clientLeft())) {
            launch.onEnded(AttemptResult.NOT_SENT, AttemptListener.NO_RESULT, Double.NaN);
        } else {
            exchanges.counters().count(Counters.Counter.ATTEMPTS);
            launch.flight =
                    exchanges.workers().send(worker, message, submission.deadline(), launch);
        }
    }

    /**
     * Guards against work for nobody: while a submission waited for its turn, for another launch's
     * end or for a connection, the client's end may lie unread behind what was read first.
     */
    private boolean clientLeft() {
        boolean left = client.hasClientLeft();
        if (left) {
            onClientGone();
        }
        return left;
    }

    void cancel(int number) {
        launches.get(number).giveUp(AttemptResult.CANCELLED);
    }

    void answer(Counters.FinalAnswer kind, ClientResponse answer) {
        if (!answered) {
            over();
            exchanges.counters().count(submission.requestClass(), kind);
            client.send(answer);
        }
    }

    /** After the end nothing more may go out: what is not written yet is ended now. */
    private void over() {
        answered = true;
        exchanges.noLongerPending();
        // It may be another submission's event that answers this one: one that waits for its turn
        // has none.
        exchanges.turn(this::closeIfOver);
        for (ExchangeAttempt launch : launches) {
            if (launch.flight != null && !launch.flight.isWritten()) {
                launch.giveUp(AttemptResult.CANCELLED);
            }
        }
    }

    @Override
    public void onClientGone() {
        exchanges.turn(
                () -> {
                    if (!answered) {
                        over();
                        exchanges.counters().count(Counters.Counter.CLIENTS_GONE);
                        handle.onClientGone();
                    }
                });
    }

    /** Ends what is still out; the decisions then say what the client is told. */
    void outOfTime() {
        for (ExchangeAttempt launch : new ArrayList<>(launches)) {
            launch.giveUp(AttemptResult.TIMED_OUT);
        }
        exchanges.turn(
                () -> {
                    if (!answered) {
                        handle.onDeadline();
                    }
                });
        // A turn of its own: a fault in the decisions must not take the answer with it.
        exchanges.turn(
                () -> {
                    if (!answered) {
                        // Only such a fault leaves it open here; nothing is promised about the
                        // effect.
                        answer(Counters.FinalAnswer.FAILED, ClientResponse.scrapped());
                    }
                    exchanges.remove(submission.id(), message.id());
                });
    }

    private void closeIfOver() {
        if (answered && handle.isComplete()) {
            limit.cancel();
            exchanges.remove(submission.id(), message.id());
        }
    }
}
