package wheelroute.net;

import java.util.ArrayList;
import java.util.List;
import wheelroute.decision.Ids;
import wheelroute.decision.LoadReport;
import wheelroute.decision.Policy;
import wheelroute.decision.Submission;
import wheelroute.net.clients.ClientAnswer;
import wheelroute.net.clients.ClientMessage;
import wheelroute.net.clients.Submitters;
import wheelroute.net.workers.Flight;
import wheelroute.net.workers.LaunchMessage;
import wheelroute.net.workers.Launches;

/**
 * One submission: its handle, its launches and its single final answer. Client and worker side meet
 * here.
 */
final class Exchange implements Submitters.Taken {
    private final Exchanges exchanges;
    private final Submission submission;
    private final LaunchMessage message;
    private final Submitters.Answers client;
    private final List<Launch> launches = new ArrayList<>(2);
    private final Loop.Timer limit;
    private Policy.Handle handle;

    /** It has just been taken: that its client is there was seen a moment ago. */
    private boolean beginning;

    private boolean answered;

    Exchange(
            Exchanges exchanges,
            Loop loop,
            Submission submission,
            ClientMessage message,
            Submitters.Answers client,
            boolean onceOnly) {
        this.exchanges = exchanges;
        this.submission = submission;
        this.client = client;
        this.message =
                new LaunchMessage(
                        message.method(),
                        message.target(),
                        message.id(),
                        message.mark(),
                        message.routeKey(),
                        message.body(),
                        onceOnly);
        limit = loop.later(submission.outerLimit() - loop.now(), this::outOfTime);
    }

    /** Decides where it goes. */
    void begin(Policy policy) {
        beginning = true;
        handle = policy.take(submission);
        beginning = false;
    }

    /** One launch, from its number to its end. */
    private final class Launch implements Launches {
        private final int number;
        private Flight flight;

        Launch(int number) {
            this.number = number;
        }

        void giveUp(End end) {
            if (flight != null) {
                flight.giveUp(end);
            }
        }

        @Override
        public boolean isWanted() {
            return !answered && !clientLeft();
        }

        @Override
        public void started() {
            exchanges.turn(() -> handle.started(number));
        }

        @Override
        public void progressed(double share) {
            exchanges.turn(() -> handle.progressed(number, share));
        }

        @Override
        public void ended(End end, byte[] result, double freeSlots) {
            exchanges.counters().count(end);
            exchanges.turn(
                    () -> {
                        if (end == End.DONE && !answered) {
                            answer(Counters.Answer.FULFILLED, ClientAnswer.fulfilled(result));
                        }
                        handle.ended(number, end.outcome(), answered, new LoadReport(freeSlots));
                        closeIfOver();
                    });
        }
    }

    void launch(Ids.Worker worker) {
        Launch launch = new Launch(launches.size());
        launches.add(launch);
        if (exchanges.hasEnded() || (!beginning && clientLeft())) {
            launch.ended(End.ENDED_UNSENT, Launches.NO_RESULT, Double.NaN);
        } else {
            exchanges.counters().count(Counters.Kind.LAUNCHED);
            launch.flight =
                    exchanges.workers().send(worker, message, submission.outerLimit(), launch);
        }
    }

    /**
     * Guards against work for nobody: while a submission waited for its turn, for another launch's
     * end or for a connection, the client's end may lie unread behind what was read first.
     */
    private boolean clientLeft() {
        boolean left = client.hasLeft();
        if (left) {
            clientGone();
        }
        return left;
    }

    void cancel(int number) {
        launches.get(number).giveUp(End.CALLED_OFF);
    }

    void answer(Counters.Answer kind, ClientAnswer answer) {
        if (!answered) {
            over();
            exchanges.counters().count(submission.offering(), kind);
            client.answer(answer);
        }
    }

    /** After the end nothing more may go out: what is not written yet is ended now. */
    private void over() {
        answered = true;
        exchanges.noLongerPending();
        // It may be another submission's event that answers this one: one that waits for its turn
        // has none.
        exchanges.turn(this::closeIfOver);
        for (Launch launch : launches) {
            if (launch.flight != null && !launch.flight.isWritten()) {
                launch.giveUp(End.CALLED_OFF);
            }
        }
    }

    @Override
    public void clientGone() {
        exchanges.turn(
                () -> {
                    if (!answered) {
                        over();
                        exchanges.counters().count(Counters.Kind.CLIENT_GONE);
                        handle.gone();
                    }
                });
    }

    /** Ends what is still out; the decisions then say what the client is told. */
    void outOfTime() {
        for (Launch launch : new ArrayList<>(launches)) {
            launch.giveUp(End.TIMED_OUT);
        }
        exchanges.turn(
                () -> {
                    if (!answered) {
                        handle.outOfTime();
                    }
                });
        // A turn of its own: a fault in the decisions must not take the answer with it.
        exchanges.turn(
                () -> {
                    if (!answered) {
                        // Only such a fault leaves it open here; nothing is promised about the
                        // effect.
                        answer(Counters.Answer.SCRAPPED, ClientAnswer.scrapped());
                    }
                    exchanges.remove(submission.id(), message.id());
                });
    }

    private void closeIfOver() {
        if (answered && handle.isOver()) {
            limit.cancel();
            exchanges.remove(submission.id(), message.id());
        }
    }
}
