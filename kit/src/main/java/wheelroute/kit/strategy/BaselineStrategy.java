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
    private static final double LAST_CALL = 0.02;

    /** Taken off the window in which repeats are known, for the way to the worker. */
    private static final double TRANSIT = 0.5;

    /** A failed watch is asked for again after this long. */
    private static final double ASK = 0.5;

    /** How a worker is chosen. */
    public interface WorkerSelector {
        /** One of the workers, of which there is at least one; null where none is worth it. */
        Ids.Worker choose(
                List<Endpoint> open,
                Request submission,
                Map<Ids.Worker, Integer> out,
                SplittableRandom random);
    }

    private final Settings settings;
    private final ActionHandler dispatcher;
    private final WorkerSelector choice;
    private final SplittableRandom random;
    private final Map<Ids.Worker, Endpoint> listed = new LinkedHashMap<>();
    private final Map<Ids.Worker, Integer> out = new HashMap<>();
    private final Map<Ids.RequestClass, Settings.RequestClass> offerings = new HashMap<>();
    private double now;
    private boolean askAgain;

    public BaselineStrategy(Settings settings, ActionHandler dispatcher, WorkerSelector choice) {
        this.settings = settings;
        this.dispatcher = dispatcher;
        this.choice = choice;
        random = new SplittableRandom(settings.seed());
        settings.requestClasses().forEach(offering -> offerings.put(offering.id(), offering));
        dispatcher.watchEndpoints();
    }

    @Override
    public void at(double time) {
        now = time;
    }

    @Override
    public void woken() {
        if (askAgain) {
            askAgain = false;
            dispatcher.watchEndpoints();
        }
    }

    @Override
    public void listFailed() {
        askAgain = true;
        dispatcher.scheduleWakeup(ASK);
    }

    @Override
    public void listed(List<Endpoint> entries, boolean whole) {
        if (whole) {
            listed.clear();
        }
        for (Endpoint entry : entries) {
            if (entry.state() == Endpoint.State.READY) {
                listed.put(entry.worker(), entry);
            } else {
                listed.remove(entry.worker());
            }
        }
    }

    @Override
    public Handle take(Request submission) {
        Settings.RequestClass offering = offerings.get(submission.requestClass());
        if (offering == null) {
            return null;
        }
        AcceptedRequest taken = new AcceptedRequest(submission, offering);
        taken.place();
        return taken;
    }

    /** One launch: where, when, and what became of it. */
    private static final class SentAttempt {
        final Endpoint place;
        final double at;
        Outcome outcome;

        SentAttempt(Endpoint place, double at) {
            this.place = place;
            this.at = at;
        }

        boolean mayHaveRun() {
            return outcome == null || outcome.mayHaveRun();
        }
    }

    private final class AcceptedRequest implements Handle {
        private final Request submission;
        private final Settings.RequestClass offering;
        private final List<SentAttempt> launches = new ArrayList<>(2);
        private int open;
        private boolean done;

        AcceptedRequest(Request submission, Settings.RequestClass offering) {
            this.submission = submission;
            this.offering = offering;
        }

        void place() {
            List<Endpoint> candidates = candidates();
            Ids.Worker worker =
                    candidates.isEmpty()
                            ? null
                            : choice.choose(candidates, submission, out, random);
            if (worker != null) {
                launches.add(new SentAttempt(listed.get(worker), now));
                open++;
                out.merge(worker, 1, Integer::sum);
                dispatcher.startAttempt(submission.id(), worker, 0);
                return;
            }
            done = true;
            boolean harmless =
                    offering.idempotency() == Idempotency.IDEMPOTENT
                            || (offering.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                                    && offering.idempotencyScope() == IdempotencyScope.ALL)
                            || launches.stream().noneMatch(SentAttempt::mayHaveRun);
            if (harmless) {
                dispatcher.reject(submission.id(), 0);
            } else {
                dispatcher.fail(submission.id());
            }
        }

        private List<Endpoint> candidates() {
            boolean again = launches.stream().anyMatch(SentAttempt::mayHaveRun);
            if (launches.size() >= settings.maxAttempts()
                    || now > submission.deadline() - LAST_CALL
                    || (again && offering.idempotency() == Idempotency.NON_IDEMPOTENT)) {
                return List.of();
            }
            List<Endpoint> all = new ArrayList<>(listed.values());
            if (again && offering.idempotency() == Idempotency.IDEMPOTENT_BY_KEY) {
                all.removeIf(
                        to ->
                                launches.stream()
                                        .anyMatch(
                                                sent ->
                                                        sent.mayHaveRun()
                                                                && (!sameGroup(sent.place, to)
                                                                        || now
                                                                                > sent.at
                                                                                        + offering
                                                                                                .idempotencyWindow()
                                                                                        - TRANSIT)));
            }
            List<Endpoint> fresh = new ArrayList<>(all);
            fresh.removeIf(
                    to ->
                            launches.stream()
                                    .anyMatch(sent -> sent.place.worker().equals(to.worker())));
            return fresh.isEmpty() ? all : fresh;
        }

        private boolean sameGroup(Endpoint a, Endpoint b) {
            return switch (offering.idempotencyScope()) {
                case ALL -> true;
                case ZONE -> a.zone().equals(b.zone());
                case CELL -> a.cell().equals(b.cell());
            };
        }

        @Override
        public boolean isOver() {
            return done && open == 0;
        }

        @Override
        public void gone() {
            done = true;
            for (int i = 0; i < launches.size() && settings.mayCancel(); i++) {
                if (launches.get(i).outcome == null) {
                    dispatcher.cancelAttempt(submission.id(), i);
                }
            }
        }

        @Override
        public void started(int launch) {
            // Choices like these look at nothing but their own launches.
        }

        @Override
        public void progressed(int launch, double share) {
            // As above.
        }

        @Override
        public void ended(int launch, Outcome outcome, boolean over, LoadReport report) {
            SentAttempt sent = launches.get(launch);
            if (sent.outcome != null) {
                return;
            }
            sent.outcome = outcome;
            open--;
            out.merge(sent.place.worker(), -1, Integer::sum);
            if (over || outcome == Outcome.SUCCEEDED) {
                done = true;
            } else if (outcome == Outcome.INVALID_REQUEST && !done) {
                done = true;
                dispatcher.fail(submission.id());
            } else if (!done) {
                place();
            }
        }
    }
}
