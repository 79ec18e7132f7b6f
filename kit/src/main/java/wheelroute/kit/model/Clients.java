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
    private static final double RECONNECT_DELAY = 0.2;

    /** How a request ended for its client. */
    public enum Result {
        IN_TIME,
        LATE,
        REJECTED,
        FAILED,
        /** No answer came before its time was up, or its connection was lost with no time left. */
        UNANSWERED,
        /** The client hung up before an answer; it counts for nobody. */
        CANCELLED
    }

    /** The way to the dispatchers. */
    public interface Transport {
        /** Sends an attempt to its dispatcher. */
        void submit(ClientAttempt clientAttempt);

        /** Closes the connection of a request that is still open. */
        void cancel(ClientAttempt clientAttempt);

        /** Whether a dispatcher accepts connections, as far as its clients know. */
        boolean isOpen(int dispatcher);
    }

    /** Hears of each ask as it begins and ends, and of each request. */
    public interface Observer {
        /** A client begins a request. */
        void onRequest(ClientRequest request);

        /**
         * A client's request is over.
         *
         * @param latency seconds from the moment at which it was meant to be sent
         */
        void onFinished(ClientRequest request, Result result, double latency);

        /** An attempt of a request was sent to a dispatcher. */
        void onSent(ClientAttempt clientAttempt);

        /** A dispatcher answered an attempt. */
        void onResponse(ClientAttempt clientAttempt, FinalResponse response);

        /** The client waits no longer; by its own wish, or as its time is up. */
        void onGaveUp(ClientAttempt clientAttempt, boolean ownWish);

        /** The connection ended with no answer. */
        void onConnectionLost(ClientAttempt clientAttempt);

        /** It never reached a dispatcher. */
        void onRefused(ClientAttempt clientAttempt);
    }

    private final Scenario scenario;
    private final Timeline timeline;
    private final SeededRandom random;
    private final Transport transport;
    private final Observer observer;
    private final RequestGenerator generator;
    private final Map<Integer, PendingRequest> pending = new HashMap<>();
    private double start;
    private boolean allSent;

    /** One ask under way. */
    private static final class PendingRequest {
        final ClientRequest request;
        final double firstSent;
        ClientAttempt openAttempt;
        int attemptCount;

        PendingRequest(ClientRequest request, double firstSent) {
            this.request = request;
            this.firstSent = firstSent;
        }
    }

    /** Makes the clients of one scenario; {@link #start} begins the traffic. */
    public Clients(
            Scenario scenario,
            Timeline timeline,
            SeededRandom random,
            double seconds,
            Transport transport,
            Observer observer) {
        this.scenario = scenario;
        this.timeline = timeline;
        this.random = random;
        this.transport = transport;
        this.observer = observer;
        generator = new RequestGenerator(scenario, random, seconds);
    }

    /** Begins the traffic of all request classes. */
    public void start() {
        start = timeline.now();
        sendNext();
    }

    /** All has been asked, and all of it has ended. */
    public boolean isOver() {
        return allSent && pending.isEmpty();
    }

    private void sendNext() {
        ClientRequest request = generator.next();
        if (request == null) {
            allSent = true;
            return;
        }
        timeline.schedule(
                Math.max(0, start + request.sendAt() - timeline.now()),
                () -> {
                    // Counted from when it was meant to go: a sender that lags must not flatter who
                    // answers.
                    PendingRequest state = new PendingRequest(request, start + request.sendAt());
                    pending.put(request.number(), state);
                    observer.onRequest(request);
                    send(state);
                    if (request.cancelsAfter() < request.requestClass().deadline()) {
                        timeline.schedule(request.cancelsAfter(), () -> cancel(state));
                    }
                    sendNext();
                });
    }

    private void send(PendingRequest state) {
        double left = state.firstSent + state.request.requestClass().deadline() - timeline.now();
        int dispatcher = dispatcherFor(state);
        if (dispatcher < 0) {
            // Nobody listens: the front refuses, and the client knows it at once.
            retryOrFinish(state, Result.UNANSWERED, RECONNECT_DELAY, true);
            return;
        }
        ClientAttempt clientAttempt =
                new ClientAttempt(
                        state.request, state.attemptCount++, dispatcher, timeline.now(), left);
        state.openAttempt = clientAttempt;
        observer.onSent(clientAttempt);
        timeline.schedule(
                left,
                () -> {
                    if (state.openAttempt == clientAttempt) {
                        state.openAttempt = null;
                        observer.onGaveUp(clientAttempt, false);
                        transport.cancel(clientAttempt);
                        finish(state, Result.UNANSWERED);
                    }
                });
        transport.submit(clientAttempt);
    }

    private int dispatcherFor(PendingRequest state) {
        int count = scenario.dispatchers();
        int first =
                (int)
                        (random.uniform(
                                        SeededRandom.Purpose.DISPATCHER,
                                        state.request.number(),
                                        state.attemptCount)
                                * count);
        for (int i = 0; i < count; i++) {
            if (transport.isOpen((first + i) % count)) {
                return (first + i) % count;
            }
        }
        return -1;
    }

    private void cancel(PendingRequest state) {
        if (pending.get(state.request.number()) != state) {
            return;
        }
        ClientAttempt clientAttempt = state.openAttempt;
        state.openAttempt = null;
        if (clientAttempt != null) {
            observer.onGaveUp(clientAttempt, true);
            transport.cancel(clientAttempt);
        }
        finish(state, Result.CANCELLED);
    }

    /** An answer has come, whole; advice to return of 0 is none. */
    @Override
    public void onResponse(ClientAttempt clientAttempt, FinalResponse response, double retryAfter) {
        observer.onResponse(clientAttempt, response);
        PendingRequest state = pending.get(clientAttempt.request().number());
        if (state == null || state.openAttempt != clientAttempt) {
            return;
        }
        state.openAttempt = null;
        switch (response) {
            case SUCCEEDED ->
                    finish(
                            state,
                            timeline.now() - state.firstSent
                                            <= state.request.latencyObjectiveSeconds()
                                    ? Result.IN_TIME
                                    : Result.LATE);
            // What may have run is asked for again only where a repeat does no harm.
            case FAILED ->
                    retryOrFinish(
                            state,
                            Result.FAILED,
                            0,
                            state.request.requestClass().idempotency() == Idempotency.IDEMPOTENT);
            case REJECTED -> retryOrFinish(state, Result.REJECTED, retryAfter, true);
        }
    }

    /** It reached nobody: trying again does no harm. */
    @Override
    public void onRefused(ClientAttempt clientAttempt) {
        PendingRequest state = pending.get(clientAttempt.request().number());
        if (state != null && state.openAttempt == clientAttempt) {
            state.openAttempt = null;
            observer.onRefused(clientAttempt);
            retryOrFinish(state, Result.UNANSWERED, RECONNECT_DELAY, true);
        }
    }

    /** The connection ended before an answer. */
    @Override
    public void onConnectionLost(ClientAttempt clientAttempt) {
        PendingRequest state = pending.get(clientAttempt.request().number());
        if (state == null || state.openAttempt != clientAttempt) {
            return;
        }
        state.openAttempt = null;
        observer.onConnectionLost(clientAttempt);
        retryOrFinish(
                state,
                Result.UNANSWERED,
                0,
                state.request.requestClass().idempotency() == Idempotency.IDEMPOTENT);
    }

    private void retryOrFinish(
            PendingRequest state, Result result, double notBefore, boolean mayRetry) {
        double spread =
                1
                        + random.uniform(
                                SeededRandom.Purpose.RETRY,
                                state.request.number(),
                                state.attemptCount);
        double wait = Math.max(notBefore, scenario.clients().retryDelay() * spread);
        double left =
                state.firstSent + state.request.requestClass().deadline() - timeline.now() - wait;
        if (!mayRetry
                || state.attemptCount > scenario.clients().retries()
                || left < scenario.clients().minTimeout()) {
            finish(state, result);
            return;
        }
        timeline.schedule(
                wait,
                () -> {
                    if (pending.get(state.request.number()) == state) {
                        send(state);
                    }
                });
    }

    private void finish(PendingRequest state, Result result) {
        pending.remove(state.request.number());
        observer.onFinished(state.request, result, timeline.now() - state.firstSent);
    }
}
