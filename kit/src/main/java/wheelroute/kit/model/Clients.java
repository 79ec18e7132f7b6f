package wheelroute.kit.model;

import java.util.HashMap;
import java.util.Map;
import wheelroute.decision.Idempotency;
import wheelroute.kit.scenario.Scenario;

/**
 * The clients of a run. They generate an open-loop load: requests are sent at the times that the
 * scenario's load gives, however long responses take. A client waits for the response, cancels the
 * request, or retries it where a retry is allowed.
 *
 * <p>Not thread-safe: all calls come from tasks of the run's timeline.
 */
public final class Clients implements ResponseListener {
    /** The least delay before a retry if a connection is refused or no dispatcher accepts any. */
    private static final double RECONNECT_DELAY_SECONDS = 0.2;

    private static final int NO_DISPATCHER = -1;

    /** How a request ended for its client. */
    public enum Result {
        IN_TIME,
        LATE,
        REJECTED,
        FAILED,
        /**
         * The deadline passed without a response, or a retry was needed and was not allowed or
         * would have had too little time.
         */
        UNANSWERED,
        /** The client cancelled before a response arrived; the request does not count. */
        CANCELLED
    }

    /** The connections to the dispatchers. */
    public interface Transport {
        /** Sends an attempt to its dispatcher. */
        void submit(ClientAttempt clientAttempt);

        /** Closes the connection of an attempt without a response. */
        void cancel(ClientAttempt clientAttempt);

        /** Returns whether a dispatcher accepts connections, as far as its clients know. */
        boolean isOpen(int dispatcher);
    }

    /** Observes requests and their attempts. */
    public interface Observer {
        /** Called when a client has a new request, before its first attempt. */
        void onRequest(ClientRequest request);

        /**
         * Called when a client's request is complete.
         *
         * @param latencySeconds the time since the load scheduled the request
         */
        void onFinished(ClientRequest request, Result result, double latencySeconds);

        /** Called when an attempt of a request is sent to a dispatcher. */
        void onSent(ClientAttempt clientAttempt);

        /** Called when a dispatcher has responded to an attempt. */
        void onResponse(ClientAttempt clientAttempt, FinalResponse response);

        /**
         * Called when a client stops waiting for a response.
         *
         * @param cancelled whether the client cancelled; otherwise its timeout was reached
         */
        void onAbandoned(ClientAttempt clientAttempt, boolean cancelled);

        /** Called when the connection of an attempt ended without a response. */
        void onConnectionLost(ClientAttempt clientAttempt);

        /** Called when the connection for an attempt was refused. */
        void onRefused(ClientAttempt clientAttempt);
    }

    private final Scenario scenario;
    private final Timeline timeline;
    private final SeededRandom random;
    private final Transport transport;
    private final Observer observer;
    private final RequestGenerator generator;
    private final Map<Integer, PendingRequest> pending = new HashMap<>();
    private double startAt;
    private boolean isGeneratorExhausted;

    /** A request that is not complete. */
    private static final class PendingRequest {
        final ClientRequest request;

        /**
         * When the load schedules the first attempt. Latency is measured from this time, so that a
         * client that sends late does not make the response look faster.
         */
        final double scheduledAt;

        /** The attempt that waits for a response; null while none does. */
        ClientAttempt openAttempt;

        int attemptCount;

        PendingRequest(ClientRequest request, double scheduledAt) {
            this.request = request;
            this.scheduledAt = scheduledAt;
        }

        double deadline() {
            return scheduledAt + request.requestClass().deadlineSeconds();
        }

        boolean isIdempotent() {
            return request.requestClass().idempotency() == Idempotency.IDEMPOTENT;
        }
    }

    /**
     * Creates the clients of a scenario; {@link #start} begins the load.
     *
     * @param seconds the time during which requests arrive
     */
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

    /** Begins the load of all request classes. */
    public void start() {
        startAt = timeline.now();
        scheduleNext();
    }

    /** Returns whether all requests have been sent and are complete. */
    public boolean isOver() {
        return isGeneratorExhausted && pending.isEmpty();
    }

    private void scheduleNext() {
        ClientRequest request = generator.next();
        if (request == null) {
            isGeneratorExhausted = true;
            return;
        }
        timeline.schedule(
                Math.max(0, startAt + request.sendAt() - timeline.now()), () -> begin(request));
    }

    private void begin(ClientRequest request) {
        PendingRequest state = new PendingRequest(request, startAt + request.sendAt());
        pending.put(request.number(), state);
        observer.onRequest(request);
        send(state);
        if (request.cancelAfterSeconds() < request.requestClass().deadlineSeconds()) {
            timeline.schedule(request.cancelAfterSeconds(), () -> cancel(state));
        }
        scheduleNext();
    }

    private void send(PendingRequest state) {
        double timeoutSeconds = state.deadline() - timeline.now();
        int dispatcher = chooseDispatcher(state);
        if (dispatcher == NO_DISPATCHER) {
            retryOrFinish(state, Result.UNANSWERED, RECONNECT_DELAY_SECONDS, true);
            return;
        }
        ClientAttempt attempt =
                new ClientAttempt(
                        state.request,
                        state.attemptCount++,
                        dispatcher,
                        timeline.now(),
                        timeoutSeconds);
        state.openAttempt = attempt;
        observer.onSent(attempt);
        timeline.schedule(timeoutSeconds, () -> onTimeout(state, attempt));
        transport.submit(attempt);
    }

    private void onTimeout(PendingRequest state, ClientAttempt attempt) {
        if (state.openAttempt == attempt) {
            state.openAttempt = null;
            observer.onAbandoned(attempt, false);
            transport.cancel(attempt);
            finish(state, Result.UNANSWERED);
        }
    }

    /**
     * Returns a random dispatcher, or the next one after it if that one does not accept
     * connections; {@link #NO_DISPATCHER} if none does.
     */
    private int chooseDispatcher(PendingRequest state) {
        int count = scenario.dispatcherCount();
        double draw =
                random.uniform(
                        SeededRandom.Purpose.DISPATCHER,
                        state.request.number(),
                        state.attemptCount);
        int first = (int) (draw * count);
        for (int i = 0; i < count; i++) {
            int dispatcher = (first + i) % count;
            if (transport.isOpen(dispatcher)) {
                return dispatcher;
            }
        }
        return NO_DISPATCHER;
    }

    private void cancel(PendingRequest state) {
        if (pending.get(state.request.number()) != state) {
            return;
        }
        ClientAttempt attempt = state.openAttempt;
        state.openAttempt = null;
        if (attempt != null) {
            observer.onAbandoned(attempt, true);
            transport.cancel(attempt);
        }
        finish(state, Result.CANCELLED);
    }

    /** Closes an attempt and returns its request; null if the attempt is not open. */
    private PendingRequest closeIfOpen(ClientAttempt attempt) {
        PendingRequest state = pending.get(attempt.request().number());
        if (state == null || state.openAttempt != attempt) {
            return null;
        }
        state.openAttempt = null;
        return state;
    }

    /** Handles a final response; retryAfterSeconds is 0 if the response has none. */
    @Override
    public void onResponse(
            ClientAttempt clientAttempt, FinalResponse response, double retryAfterSeconds) {
        observer.onResponse(clientAttempt, response);
        PendingRequest state = closeIfOpen(clientAttempt);
        if (state == null) {
            return;
        }
        switch (response) {
            case SUCCEEDED -> finish(state, isInTime(state) ? Result.IN_TIME : Result.LATE);
            case FAILED -> retryOrFinish(state, Result.FAILED, 0, state.isIdempotent());
            case REJECTED -> retryOrFinish(state, Result.REJECTED, retryAfterSeconds, true);
        }
    }

    private boolean isInTime(PendingRequest state) {
        return timeline.now() - state.scheduledAt <= state.request.latencyObjectiveSeconds();
    }

    /** Retries after a refused connection, which is safe because no dispatcher has the attempt. */
    @Override
    public void onRefused(ClientAttempt clientAttempt) {
        PendingRequest state = closeIfOpen(clientAttempt);
        if (state != null) {
            observer.onRefused(clientAttempt);
            retryOrFinish(state, Result.UNANSWERED, RECONNECT_DELAY_SECONDS, true);
        }
    }

    /**
     * Retries an idempotent request whose connection ended without a response, after which the
     * attempt may have run.
     */
    @Override
    public void onConnectionLost(ClientAttempt clientAttempt) {
        PendingRequest state = closeIfOpen(clientAttempt);
        if (state != null) {
            observer.onConnectionLost(clientAttempt);
            retryOrFinish(state, Result.UNANSWERED, 0, state.isIdempotent());
        }
    }

    /**
     * Retries a request after a delay, or finishes it with this result if a retry is not allowed or
     * too little time would be left.
     *
     * @param minDelaySeconds the least delay before the retry
     */
    private void retryOrFinish(
            PendingRequest state, Result result, double minDelaySeconds, boolean mayRetry) {
        Scenario.Clients behavior = scenario.clients();
        double spread =
                1
                        + random.uniform(
                                SeededRandom.Purpose.RETRY,
                                state.request.number(),
                                state.attemptCount);
        double delaySeconds = Math.max(minDelaySeconds, behavior.retryDelaySeconds() * spread);
        double leftSeconds = state.deadline() - timeline.now() - delaySeconds;
        if (!mayRetry
                || state.attemptCount > behavior.maxRetries()
                || leftSeconds < behavior.minTimeoutSeconds()) {
            finish(state, result);
            return;
        }
        timeline.schedule(
                delaySeconds,
                () -> {
                    if (pending.get(state.request.number()) == state) {
                        send(state);
                    }
                });
    }

    private void finish(PendingRequest state, Result result) {
        pending.remove(state.request.number());
        observer.onFinished(state.request, result, timeline.now() - state.scheduledAt);
    }
}
