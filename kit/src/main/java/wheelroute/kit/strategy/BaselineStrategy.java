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
 * Textbook dispatching that keeps the first three rules: a choice among the active workers, again
 * elsewhere where a repeat is allowed, else the answer that the rules leave. It bounces only what
 * cannot be placed.
 */
public final class BaselineStrategy implements Strategy {
    /** Nothing is launched with less than this left. */
    private static final double MIN_TIME_LEFT = 0.02;

    /** Taken off the window in which repeats are known, for the way to the worker. */
    private static final double TRANSIT_MARGIN = 0.5;

    /** A failed watch is asked for again after this long. */
    private static final double POLL_DELAY = 0.5;

    /** How a worker is chosen. */
    public interface WorkerSelector {
        /** One of the workers, of which there is at least one; null where none is worth it. */
        Ids.Worker choose(
                List<Endpoint> open,
                Request request,
                Map<Ids.Worker, Integer> out,
                SplittableRandom random);
    }

    private final Settings settings;
    private final ActionHandler actions;
    private final WorkerSelector selector;
    private final SplittableRandom random;
    private final Map<Ids.Worker, Endpoint> readyEndpoints = new LinkedHashMap<>();
    private final Map<Ids.Worker, Integer> inFlight = new HashMap<>();
    private final Map<Ids.RequestClass, Settings.RequestClass> requestClasses = new HashMap<>();
    private double now;
    private boolean pollPending;

    /** Makes a baseline that keeps the rules and chooses workers in its own way. */
    public BaselineStrategy(Settings settings, ActionHandler dispatcher, WorkerSelector choice) {
        this.settings = settings;
        this.actions = dispatcher;
        this.selector = choice;
        random = new SplittableRandom(settings.seed());
        settings.requestClasses()
                .forEach(requestClass -> requestClasses.put(requestClass.id(), requestClass));
        dispatcher.watchEndpoints();
    }

    @Override
    public void advanceTo(double time) {
        now = time;
    }

    @Override
    public void onWakeup() {
        if (pollPending) {
            pollPending = false;
            actions.watchEndpoints();
        }
    }

    @Override
    public void onEndpointsFailed() {
        pollPending = true;
        actions.scheduleWakeup(POLL_DELAY);
    }

    @Override
    public void onEndpoints(List<Endpoint> entries, boolean whole) {
        if (whole) {
            readyEndpoints.clear();
        }
        for (Endpoint entry : entries) {
            if (entry.state() == Endpoint.State.READY) {
                readyEndpoints.put(entry.worker(), entry);
            } else {
                readyEndpoints.remove(entry.worker());
            }
        }
    }

    @Override
    public Handle accept(Request request) {
        Settings.RequestClass requestClass = requestClasses.get(request.requestClass());
        if (requestClass == null) {
            return null;
        }
        AcceptedRequest taken = new AcceptedRequest(request, requestClass);
        taken.startAttempt();
        return taken;
    }

    /** One attempt: where, when, and what became of it. */
    private static final class SentAttempt {
        final Endpoint endpoint;
        final double sentAt;
        Outcome outcome;

        SentAttempt(Endpoint place, double at) {
            this.endpoint = place;
            this.sentAt = at;
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
        private boolean answered;

        AcceptedRequest(Request request, Settings.RequestClass requestClass) {
            this.request = request;
            this.requestClass = requestClass;
        }

        void startAttempt() {
            List<Endpoint> candidates = candidates();
            Ids.Worker worker =
                    candidates.isEmpty()
                            ? null
                            : selector.choose(candidates, request, inFlight, random);
            if (worker != null) {
                attempts.add(new SentAttempt(readyEndpoints.get(worker), now));
                openAttempts++;
                inFlight.merge(worker, 1, Integer::sum);
                actions.startAttempt(request.id(), worker, 0);
                return;
            }
            answered = true;
            boolean harmless =
                    requestClass.idempotency() == Idempotency.IDEMPOTENT
                            || (requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                                    && requestClass.idempotencyScope() == IdempotencyScope.ALL)
                            || attempts.stream().noneMatch(SentAttempt::mayHaveRun);
            if (harmless) {
                actions.reject(request.id(), 0);
            } else {
                actions.fail(request.id());
            }
        }

        private List<Endpoint> candidates() {
            boolean again = attempts.stream().anyMatch(SentAttempt::mayHaveRun);
            if (attempts.size() >= settings.maxAttempts()
                    || now > request.deadline() - MIN_TIME_LEFT
                    || (again && requestClass.idempotency() == Idempotency.NON_IDEMPOTENT)) {
                return List.of();
            }
            List<Endpoint> all = new ArrayList<>(readyEndpoints.values());
            if (again && requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY) {
                all.removeIf(
                        to ->
                                attempts.stream()
                                        .anyMatch(
                                                sent ->
                                                        sent.mayHaveRun()
                                                                && (!isSameScope(sent.endpoint, to)
                                                                        || now
                                                                                > sent.sentAt
                                                                                        + requestClass
                                                                                                .idempotencyWindowSeconds()
                                                                                        - TRANSIT_MARGIN)));
            }
            List<Endpoint> fresh = new ArrayList<>(all);
            fresh.removeIf(
                    to ->
                            attempts.stream()
                                    .anyMatch(sent -> sent.endpoint.worker().equals(to.worker())));
            return fresh.isEmpty() ? all : fresh;
        }

        private boolean isSameScope(Endpoint a, Endpoint b) {
            return switch (requestClass.idempotencyScope()) {
                case ALL -> true;
                case ZONE -> a.zone().equals(b.zone());
                case CELL -> a.cell().equals(b.cell());
            };
        }

        @Override
        public boolean isComplete() {
            return answered && openAttempts == 0;
        }

        @Override
        public void onClientGone() {
            answered = true;
            for (int i = 0; i < attempts.size() && settings.mayCancel(); i++) {
                if (attempts.get(i).outcome == null) {
                    actions.cancelAttempt(request.id(), i);
                }
            }
        }

        @Override
        public void onStarted(int attempt) {
            // Choices like these look at nothing but their own attempts.
        }

        @Override
        public void onProgress(int attempt, double share) {
            // As above.
        }

        @Override
        public void onEnded(int attempt, Outcome outcome, boolean over, LoadReport report) {
            SentAttempt sent = attempts.get(attempt);
            if (sent.outcome != null) {
                return;
            }
            sent.outcome = outcome;
            openAttempts--;
            inFlight.merge(sent.endpoint.worker(), -1, Integer::sum);
            if (over || outcome == Outcome.SUCCEEDED) {
                answered = true;
            } else if (outcome == Outcome.INVALID_REQUEST && !answered) {
                answered = true;
                actions.fail(request.id());
            } else if (!answered) {
                startAttempt();
            }
        }
    }
}
