package wheelroute.kit.strategy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import wheelroute.decision.ActionHandler;
import wheelroute.decision.Endpoint;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;
import wheelroute.decision.Ids;
import wheelroute.decision.LoadReport;
import wheelroute.decision.Outcome;
import wheelroute.decision.Request;
import wheelroute.decision.Settings;

/**
 * A textbook load balancer. It sends a request to a ready worker, retries it at other workers where
 * that is allowed, and otherwise rejects or fails it. It respects the rules for retries and
 * draining, but sheds no load and does not spare workers in slow start.
 */
public final class BaselineStrategy implements Strategy {
    /** Minimum time before the deadline at which an attempt is still started. */
    private static final double MIN_TIME_LEFT_SECONDS = 0.02;

    /** Subtracted from the idempotency window, to leave time for a retry to reach its worker. */
    private static final double TRANSIT_MARGIN_SECONDS = 0.5;

    /** Delay after a failed call to discovery until the next one. */
    private static final double POLL_DELAY_SECONDS = 0.5;

    private final Settings settings;
    private final ActionHandler actions;
    private final WorkerSelector selector;
    private final SplittableRandom random;
    private final Map<Ids.Worker, Endpoint> readyEndpoints = new LinkedHashMap<>();
    private final Map<Ids.Worker, Integer> inFlight = new HashMap<>();
    private final Map<Ids.RequestClass, Settings.RequestClass> requestClasses = new HashMap<>();
    private double now;
    private boolean isPollPending;

    /** Creates the strategy of one dispatcher and starts to watch the endpoint list. */
    BaselineStrategy(Settings settings, ActionHandler actions, WorkerSelector selector) {
        this.settings = settings;
        this.actions = actions;
        this.selector = selector;
        random = new SplittableRandom(settings.seed());
        settings.requestClasses().forEach(each -> requestClasses.put(each.id(), each));
        actions.watchEndpoints();
    }

    @Override
    public void advanceTo(double time) {
        now = time;
    }

    @Override
    public void onWakeup() {
        if (isPollPending) {
            isPollPending = false;
            actions.watchEndpoints();
        }
    }

    @Override
    public void onEndpointsFailed() {
        isPollPending = true;
        actions.scheduleWakeup(POLL_DELAY_SECONDS);
    }

    @Override
    public void onEndpoints(List<Endpoint> endpoints, boolean isComplete) {
        if (isComplete) {
            readyEndpoints.clear();
        }
        for (Endpoint endpoint : endpoints) {
            if (endpoint.state() == Endpoint.State.READY) {
                readyEndpoints.put(endpoint.worker(), endpoint);
            } else {
                readyEndpoints.remove(endpoint.worker());
            }
        }
    }

    @Override
    public Handle accept(Request request) {
        Settings.RequestClass requestClass = requestClasses.get(request.requestClass());
        if (requestClass == null) {
            return null;
        }
        AcceptedRequest accepted = new AcceptedRequest(request, requestClass);
        accepted.startAttemptOrRespond();
        return accepted;
    }

    private static final class SentAttempt {
        final Endpoint endpoint;
        final double sentAt;

        /** How the attempt ended; null while it is in flight. */
        Outcome outcome;

        SentAttempt(Endpoint endpoint, double sentAt) {
            this.endpoint = endpoint;
            this.sentAt = sentAt;
        }

        boolean mayHaveRun() {
            return outcome == null || outcome.mayHaveRun();
        }
    }

    private final class AcceptedRequest implements Handle {
        private final Request request;
        private final Settings.RequestClass requestClass;
        private final List<SentAttempt> attempts = new ArrayList<>(2);
        private int openAttempts;
        private boolean isAnswered;

        AcceptedRequest(Request request, Settings.RequestClass requestClass) {
            this.request = request;
            this.requestClass = requestClass;
        }

        void startAttemptOrRespond() {
            List<Endpoint> candidates = candidates();
            Ids.Worker worker =
                    candidates.isEmpty()
                            ? null
                            : selector.choose(candidates, request, inFlight, random);
            if (worker != null) {
                startAttempt(worker);
                return;
            }
            isAnswered = true;
            if (mayReject()) {
                actions.reject(request.id(), 0);
            } else {
                actions.fail(request.id());
            }
        }

        private void startAttempt(Ids.Worker worker) {
            attempts.add(new SentAttempt(readyEndpoints.get(worker), now));
            openAttempts++;
            inFlight.merge(worker, 1, Integer::sum);
            actions.startAttempt(request.id(), worker, 0);
        }

        /** Whether a retry by the client is safe, as a rejection promises. */
        private boolean mayReject() {
            return requestClass.idempotency() == Idempotency.IDEMPOTENT
                    || (requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                            && requestClass.idempotencyScope() == IdempotencyScope.ALL)
                    || !mayHaveRun();
        }

        private boolean mayHaveRun() {
            return attempts.stream().anyMatch(SentAttempt::mayHaveRun);
        }

        /** Returns the allowed workers of the next attempt, only untried ones if there are any. */
        private List<Endpoint> candidates() {
            boolean mayHaveRun = mayHaveRun();
            if (attempts.size() >= settings.maxAttempts()
                    || now > request.deadline() - MIN_TIME_LEFT_SECONDS
                    || (mayHaveRun && requestClass.idempotency() == Idempotency.NON_IDEMPOTENT)) {
                return List.of();
            }
            List<Endpoint> allowed = new ArrayList<>(readyEndpoints.values());
            if (mayHaveRun && requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY) {
                allowed.removeIf(
                        endpoint ->
                                attempts.stream()
                                        .anyMatch(sent -> mayRepeatEffect(sent, endpoint)));
            }
            List<Endpoint> untried = new ArrayList<>(allowed);
            untried.removeIf(this::isTried);
            return untried.isEmpty() ? allowed : untried;
        }

        /** Whether a worker may repeat the effect of an earlier attempt, not knowing its key. */
        private boolean mayRepeatEffect(SentAttempt sent, Endpoint endpoint) {
            double windowSeconds = requestClass.idempotencyWindowSeconds();
            boolean isWindowOver = now > sent.sentAt + windowSeconds - TRANSIT_MARGIN_SECONDS;
            return sent.mayHaveRun() && (!isSameScope(sent.endpoint, endpoint) || isWindowOver);
        }

        private boolean isTried(Endpoint endpoint) {
            return attempts.stream()
                    .anyMatch(sent -> sent.endpoint.worker().equals(endpoint.worker()));
        }

        private boolean isSameScope(Endpoint one, Endpoint other) {
            return switch (requestClass.idempotencyScope()) {
                case ALL -> true;
                case ZONE -> one.zone().equals(other.zone());
                case CELL -> one.cell().equals(other.cell());
            };
        }

        @Override
        public boolean isComplete() {
            return isAnswered && openAttempts == 0;
        }

        @Override
        public void onClientGone() {
            isAnswered = true;
            for (int i = 0; i < attempts.size() && settings.mayCancel(); i++) {
                if (attempts.get(i).outcome == null) {
                    actions.cancelAttempt(request.id(), i);
                }
            }
        }

        @Override
        public void onStarted(int attempt) {
            // Baselines only count the attempts in flight.
        }

        @Override
        public void onProgress(int attempt, double fraction) {
            // Baselines only count the attempts in flight.
        }

        @Override
        public void onEnded(
                int attempt, Outcome outcome, boolean hasFinalResponse, LoadReport report) {
            SentAttempt sent = attempts.get(attempt);
            if (sent.outcome != null) {
                return;
            }
            sent.outcome = outcome;
            openAttempts--;
            inFlight.merge(sent.endpoint.worker(), -1, Integer::sum);
            if (hasFinalResponse || outcome == Outcome.SUCCEEDED) {
                isAnswered = true;
            } else if (outcome == Outcome.INVALID_REQUEST && !isAnswered) {
                isAnswered = true;
                actions.fail(request.id());
            } else if (!isAnswered) {
                startAttemptOrRespond();
            }
        }
    }
}
