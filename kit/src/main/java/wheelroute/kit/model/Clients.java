package wheelroute.kit.model;

import java.util.HashMap;
import java.util.Map;
import wheelroute.decision.Idempotency;
import wheelroute.kit.scenario.Scenario;

/**
 * The clients: they send what traffic says, wait, retry what may be retried, hang up, and remember
 * how it went.
 */
public final class Clients implements ResponseListener {
    /** Who finds no dispatcher tries the next one after this long. */
    private static final double RECONNECT = 0.2;

    /** How an ask ended for its client. */
    public enum Result {
        IN_TIME,
        LATE,
        BOUNCED,
        SCRAPPED,
        /** No answer came before its time was up, or its connection was lost with no time left. */
        UNANSWERED,
        /** The client hung up before an answer; it counts for nobody. */
        LEFT
    }

    /** The way to the dispatchers. */
    public interface Transport {
        void submit(ClientAttempt submitted);

        /** Closes the connection of a submission that is still open. */
        void hangUp(ClientAttempt submitted);

        boolean isOpen(int dispatcher);
    }

    /** Hears of each ask as it begins and ends, and of each submission. */
    public interface Observer {
        void asked(ClientRequest ask);

        void finished(ClientRequest ask, Result result, double latency);

        void sent(ClientAttempt submitted);

        void answered(ClientAttempt submitted, FinalResponse answer);

        /** The client waits no longer; by its own wish, or as its time is up. */
        void gaveUp(ClientAttempt submitted, boolean ownWish);

        /** The connection ended with no answer. */
        void cutOff(ClientAttempt submitted);

        /** It never reached a dispatcher. */
        void refused(ClientAttempt submitted);
    }

    private final Scenario scenario;
    private final Timeline timeline;
    private final SeededRandom chance;
    private final Transport door;
    private final Observer observer;
    private final RequestGenerator traffic;
    private final Map<Integer, PendingRequest> open = new HashMap<>();
    private double start;
    private boolean allSent;

    /** One ask under way. */
    private static final class PendingRequest {
        final ClientRequest ask;
        final double firstSent;
        ClientAttempt out;
        int attempts;

        PendingRequest(ClientRequest ask, double firstSent) {
            this.ask = ask;
            this.firstSent = firstSent;
        }
    }

    public Clients(
            Scenario scenario,
            Timeline timeline,
            SeededRandom chance,
            double seconds,
            Transport door,
            Observer observer) {
        this.scenario = scenario;
        this.timeline = timeline;
        this.chance = chance;
        this.door = door;
        this.observer = observer;
        traffic = new RequestGenerator(scenario, chance, seconds);
    }

    public void begin() {
        start = timeline.now();
        sendNext();
    }

    /** All has been asked, and all of it has ended. */
    public boolean isOver() {
        return allSent && open.isEmpty();
    }

    private void sendNext() {
        ClientRequest ask = traffic.next();
        if (ask == null) {
            allSent = true;
            return;
        }
        timeline.after(
                Math.max(0, start + ask.at() - timeline.now()),
                () -> {
                    // Counted from when it was meant to go: a sender that lags must not flatter who
                    // answers.
                    PendingRequest state = new PendingRequest(ask, start + ask.at());
                    open.put(ask.number(), state);
                    observer.asked(ask);
                    send(state);
                    if (ask.leavesAfter() < ask.offering().outer()) {
                        timeline.after(ask.leavesAfter(), () -> leave(state));
                    }
                    sendNext();
                });
    }

    private void send(PendingRequest state) {
        double left = state.firstSent + state.ask.offering().outer() - timeline.now();
        int dispatcher = dispatcherFor(state);
        if (dispatcher < 0) {
            // Nobody listens: the front refuses, and the client knows it at once.
            retryOrFinish(state, Result.UNANSWERED, RECONNECT, true);
            return;
        }
        ClientAttempt submitted =
                new ClientAttempt(state.ask, state.attempts++, dispatcher, timeline.now(), left);
        state.out = submitted;
        observer.sent(submitted);
        timeline.after(
                left,
                () -> {
                    if (state.out == submitted) {
                        state.out = null;
                        observer.gaveUp(submitted, false);
                        door.hangUp(submitted);
                        finish(state, Result.UNANSWERED);
                    }
                });
        door.submit(submitted);
    }

    private int dispatcherFor(PendingRequest state) {
        int count = scenario.dispatchers();
        int first =
                (int)
                        (chance.once(
                                        SeededRandom.Purpose.DISPATCHER,
                                        state.ask.number(),
                                        state.attempts)
                                * count);
        for (int i = 0; i < count; i++) {
            if (door.isOpen((first + i) % count)) {
                return (first + i) % count;
            }
        }
        return -1;
    }

    private void leave(PendingRequest state) {
        if (open.get(state.ask.number()) != state) {
            return;
        }
        ClientAttempt submitted = state.out;
        state.out = null;
        if (submitted != null) {
            observer.gaveUp(submitted, true);
            door.hangUp(submitted);
        }
        finish(state, Result.LEFT);
    }

    /** An answer has come, whole; advice to return of 0 is none. */
    @Override
    public void answered(ClientAttempt submitted, FinalResponse answer, double retryAfter) {
        observer.answered(submitted, answer);
        PendingRequest state = open.get(submitted.ask().number());
        if (state == null || state.out != submitted) {
            return;
        }
        state.out = null;
        switch (answer) {
            case FULFILLED ->
                    finish(
                            state,
                            timeline.now() - state.firstSent <= state.ask.quoted()
                                    ? Result.IN_TIME
                                    : Result.LATE);
            // What may have run is asked for again only where a repeat does no harm.
            case SCRAPPED ->
                    retryOrFinish(
                            state,
                            Result.SCRAPPED,
                            0,
                            state.ask.offering().effect() == Idempotency.IDEMPOTENT);
            case BOUNCED -> retryOrFinish(state, Result.BOUNCED, retryAfter, true);
        }
    }

    /** It reached nobody: trying again does no harm. */
    @Override
    public void refused(ClientAttempt submitted) {
        PendingRequest state = open.get(submitted.ask().number());
        if (state != null && state.out == submitted) {
            state.out = null;
            observer.refused(submitted);
            retryOrFinish(state, Result.UNANSWERED, RECONNECT, true);
        }
    }

    /** The connection ended before an answer. */
    @Override
    public void cutOff(ClientAttempt submitted) {
        PendingRequest state = open.get(submitted.ask().number());
        if (state == null || state.out != submitted) {
            return;
        }
        state.out = null;
        observer.cutOff(submitted);
        retryOrFinish(
                state,
                Result.UNANSWERED,
                0,
                state.ask.offering().effect() == Idempotency.IDEMPOTENT);
    }

    private void retryOrFinish(
            PendingRequest state, Result result, double notBefore, boolean mayRetry) {
        double spread =
                1 + chance.once(SeededRandom.Purpose.RETRY, state.ask.number(), state.attempts);
        double wait = Math.max(notBefore, scenario.clients().pause() * spread);
        double left = state.firstSent + state.ask.offering().outer() - timeline.now() - wait;
        if (!mayRetry
                || state.attempts > scenario.clients().retries()
                || left < scenario.clients().leastWait()) {
            finish(state, result);
            return;
        }
        timeline.after(
                wait,
                () -> {
                    if (open.get(state.ask.number()) == state) {
                        send(state);
                    }
                });
    }

    private void finish(PendingRequest state, Result result) {
        open.remove(state.ask.number());
        observer.finished(state.ask, result, timeline.now() - state.firstSent);
    }
}
