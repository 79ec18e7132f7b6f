package wheelroute.kit.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import wheelroute.config.TomlFields;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;
import wheelroute.kit.model.AttemptEnding;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.EndpointRegistry;
import wheelroute.kit.model.EventListener;
import wheelroute.kit.model.FinalResponse;
import wheelroute.kit.model.Timeline;
import wheelroute.kit.model.WorkerAttempt;
import wheelroute.kit.model.WorkerModel;
import wheelroute.kit.scenario.Scenario;

/**
 * Checks the four rules on what stand-ins and clients saw. A submission's record is kept until
 * nothing that breaks a rule can follow any more, so that a run of any length takes bounded memory.
 */
public final class Auditor implements EventListener {
    /** A broken rule, with all that is known of the submission it befell. */
    public record Breach(Rule rule, String description, List<String> history) {}

    /** Breaches told in full; more of them are counted. */
    private static final int MAX_DETAILED_BREACHES = 20;

    /** After its outer limit a submission's record is kept for so long. */
    private static final double RETENTION = 1;

    /**
     * From a submission's sending to the end of the turn in which it is launched; no program sees a
     * stop in it.
     */
    private static final double TURN_DURATION = 0.02;

    /**
     * That a client left while its submission waited is seen within this: nothing goes out for it.
     */
    private static final double CANCELLATION_DELAY = 0.3;

    /** Texts of the histories, made once: they are noted millions of times and seldom read. */
    private static final String[] RESPONSE_LABELS =
            labels("answered ", FinalResponse.values(), FinalResponse::reportName, "");

    private static final String[] ENDING_LABELS =
            labels("", AttemptEnding.values(), AttemptEnding::reportName, " at");
    private static final String[] UNDELIVERED_ENDING_LABELS =
            labels("untold: ", AttemptEnding.values(), AttemptEnding::reportName, " at");

    private final Scenario scenario;
    private final Timeline timeline;

    /** What the ways to and fro, and the machine's own lateness, may add to any time. */
    private final double slack;

    private final Map<Long, RequestRecord> records = new HashMap<>();
    private final ArrayDeque<RequestRecord> aging = new ArrayDeque<>();

    /** By dispatcher and worker: since when it is told draining or gone. */
    private final Map<Long, Double> drainingSince = new HashMap<>();

    private final Map<Integer, Set<Integer>> effects = new HashMap<>();
    private final Set<Integer> stoppedDispatchers = new HashSet<>();

    /**
     * Since when processes stand still: what they hold cannot be answered, and is no fault of
     * theirs.
     */
    private final Map<Integer, Double> pausedSince = new HashMap<>();

    /** Dispatchers the ways to whose clients are harmed: how long those wait they cannot know. */
    private final Set<Integer> impairedClients = new HashSet<>();

    private final Set<Integer> splitDispatchers = new HashSet<>();

    /**
     * By dispatcher and worker: how much later what is sent between them may come now, or could
     * lately.
     */
    private final Map<Long, Double> linkDelays = new HashMap<>();

    private double maxLinkDelay;
    private final List<Breach> breaches = new ArrayList<>();
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);
    private double start;

    /** One event in a submission's life. */
    private record Event(double time, String text, int worker) {}

    /** One launch as its worker saw it. */
    private static final class ObservedAttempt {
        final RequestRecord record;
        final WorkerModel worker;
        final double arrivedAt;
        boolean ended;
        boolean neverRan;

        ObservedAttempt(RequestRecord of, WorkerModel worker, double arrivedAt) {
            this.record = of;
            this.worker = worker;
            this.arrivedAt = arrivedAt;
        }
    }

    /** One submission. */
    private static final class RequestRecord {
        final ClientAttempt clientAttempt;
        final List<ObservedAttempt> attempts = new ArrayList<>(2);
        final List<Event> events = new ArrayList<>();
        FinalResponse response;
        double respondedAt = Double.NaN;

        /** When its client hung up of its own wish, before any answer. */
        double cancelledAt = Double.NaN;

        boolean abandoned;
        boolean excused;

        /**
         * It came by a way that was harmed: when its time began, nobody could tell its dispatcher.
         */
        boolean startUnknown;

        /**
         * Its process was stopped in the moment of its taking: what that turn had begun goes on
         * with it.
         */
        boolean pausedMidTurn;

        boolean succeeded;

        RequestRecord(ClientAttempt clientAttempt) {
            this.clientAttempt = clientAttempt;
        }

        void addEvent(double at, String what, int worker) {
            events.add(new Event(at, what, worker));
        }
    }

    public Auditor(Scenario scenario, Timeline timeline, double slack) {
        this.scenario = scenario;
        this.timeline = timeline;
        this.slack = slack;
        start = timeline.now();
    }

    /** One label for each constant, by its ordinal. */
    private static <E extends Enum<E>> String[] labels(
            String prefix, E[] constants, Function<E, String> name, String suffix) {
        return Arrays.stream(constants)
                .map(constant -> prefix + name.apply(constant) + suffix)
                .toArray(String[]::new);
    }

    /** Histories count from here. */
    public void start() {
        start = timeline.now();
    }

    // ---- from the clients

    public void onSent(ClientAttempt clientAttempt) {
        RequestRecord record = new RequestRecord(clientAttempt);
        record.addEvent(timeline.now(), "sent to dispatcher", clientAttempt.dispatcher());
        record.startUnknown = impairedClients.contains(clientAttempt.dispatcher());
        record.excused =
                record.startUnknown
                        || pausedSince.containsKey(clientAttempt.dispatcher())
                        || splitDispatchers.contains(clientAttempt.dispatcher());
        Double stopped = pausedSince.get(clientAttempt.dispatcher());
        record.pausedMidTurn = stopped != null && timeline.now() - stopped < TURN_DURATION;
        records.put(clientAttempt.key(), record);
        aging.addLast(record);
        removeExpired();
    }

    public void onResponse(ClientAttempt clientAttempt, FinalResponse response) {
        RequestRecord record = records.get(clientAttempt.key());
        if (record == null) {
            breach(Rule.ONE_ANSWER, "an answer to a submission long over", null);
            return;
        }
        double now = timeline.now();
        record.addEvent(now, RESPONSE_LABELS[response.ordinal()], -1);
        if (record.response != null) {
            breach(Rule.ONE_ANSWER, "a second final answer", record);
            return;
        }
        record.response = response;
        record.respondedAt = now;
        if (!record.excused && now > clientAttempt.sentAt() + clientAttempt.timeout() + slack) {
            breach(Rule.ONE_ANSWER, "an answer after the outer limit", record);
        }
        if (response == FinalResponse.SUCCEEDED && !record.succeeded) {
            breach(Rule.ONE_ANSWER, "fulfilled with what no worker made for it", record);
        }
        if (response == FinalResponse.REJECTED && !mayReject(record)) {
            breach(Rule.NO_EFFECT_TWICE, "bounced, though it may have run", record);
        }
    }

    /**
     * The client stopped waiting: its own wish is no fault of the dispatcher, its time being up is.
     */
    public void onGaveUp(ClientAttempt clientAttempt, boolean ownWish) {
        RequestRecord record = records.get(clientAttempt.key());
        if (record == null) {
            return;
        }
        record.addEvent(timeline.now(), ownWish ? "client hung up" : "client's time is up", -1);
        record.abandoned = true;
        if (ownWish && record.response == null) {
            record.cancelledAt = timeline.now();
        }
        if (!ownWish && !record.excused && record.response == null) {
            breach(Rule.ONE_ANSWER, "no answer before the outer limit", record);
        }
    }

    /** Its connection ended without an answer: allowed only to a dispatcher that died. */
    public void onConnectionLost(ClientAttempt clientAttempt) {
        RequestRecord record = records.get(clientAttempt.key());
        if (record == null) {
            return;
        }
        record.addEvent(timeline.now(), "connection lost", -1);
        record.abandoned = true;
        if (!record.excused && !stoppedDispatchers.contains(clientAttempt.dispatcher())) {
            breach(Rule.ONE_ANSWER, "the connection ended without an answer", record);
        }
    }

    /** Its connection never came up: no dispatcher has taken it, so none owes an answer. */
    public void onRefused(ClientAttempt clientAttempt) {
        RequestRecord record = records.get(clientAttempt.key());
        if (record != null) {
            record.addEvent(timeline.now(), "connection refused", -1);
            record.abandoned = true;
        }
    }

    /** It ended, and nobody had told it to. */
    public void onCrash(int dispatcher, String lastWords) {
        breach(Rule.STAYS_UP, "dispatcher " + dispatcher + " ended unasked; " + lastWords, null);
    }

    /** What it held is lost with it, and no fault of the rules; what it launched still counts. */
    public void onDispatcherStopped(int dispatcher) {
        stoppedDispatchers.add(dispatcher);
        pausedSince.remove(dispatcher);
        excuse(dispatcher);
        drainingSince.keySet().removeIf(key -> key >> Integer.SIZE == dispatcher);
    }

    /**
     * One of its two processes is being killed, until it is gone, or both stand still: what that
     * one holds, or is handed meanwhile, is lost, and which it holds nobody can tell.
     */
    public void setDispatcherSplit(int dispatcher, boolean begins) {
        if (begins) {
            splitDispatchers.add(dispatcher);
            excuse(dispatcher);
        } else {
            splitDispatchers.remove(dispatcher);
        }
    }

    public void onDispatcherStarted(int dispatcher) {
        stoppedDispatchers.remove(dispatcher);
    }

    private void excuse(int dispatcher) {
        for (RequestRecord record : records.values()) {
            if (record.clientAttempt.dispatcher() == dispatcher && record.response == null) {
                record.excused = true;
            }
        }
    }

    /**
     * What is sent on this way comes so much later at most from here on; that alone is no late
     * launch.
     */
    public void setLinkDelay(int dispatcher, int worker, double by) {
        long key = linkKey(dispatcher, worker);
        maxLinkDelay = Math.max(maxLinkDelay, by);
        double before = linkDelays.getOrDefault(key, 0.0);
        if (by >= before) {
            linkDelays.put(key, by);
        } else {
            // What is on it still comes as late as that.
            timeline.schedule(before, () -> linkDelays.replace(key, before, by));
        }
    }

    private static long linkKey(int dispatcher, int worker) {
        return (long) dispatcher << Integer.SIZE | worker;
    }

    /** Null for one that is not remembered. */
    public ClientAttempt clientAttempt(long key) {
        RequestRecord record = records.get(key);
        return record == null ? null : record.clientAttempt;
    }

    /**
     * What is on its way to or from clients may come late or never: what was launched still counts.
     */
    public void setClientsImpaired(int dispatcher, boolean harmed) {
        if (harmed) {
            impairedClients.add(dispatcher);
            excuse(dispatcher);
            records.values().stream()
                    .filter(r -> r.clientAttempt.dispatcher() == dispatcher && r.response == null)
                    .forEach(r -> r.startUnknown = true);
        } else {
            impairedClients.remove(dispatcher);
        }
    }

    /**
     * What it holds may go without an answer from here; whatever it launches still counts, also
     * later.
     */
    public void onDispatcherPaused(int dispatcher) {
        double now = timeline.now();
        pausedSince.put(dispatcher, now);
        excuse(dispatcher);
        records.values().stream()
                .filter(
                        r ->
                                r.clientAttempt.dispatcher() == dispatcher
                                        && now - r.clientAttempt.sentAt() < TURN_DURATION)
                .forEach(r -> r.pausedMidTurn = true);
    }

    /** What it was told while it stood still it can have heard only now. */
    public void onDispatcherResumed(int dispatcher) {
        Double since = pausedSince.remove(dispatcher);
        if (since != null) {
            double now = timeline.now();
            drainingSince.replaceAll(
                    (key, at) -> key >> Integer.SIZE == dispatcher && at >= since ? now : at);
        }
    }

    // ---- from the list

    public void onNotified(int dispatcher, int worker, EndpointRegistry.State state) {
        long key = linkKey(dispatcher, worker);
        if (state == EndpointRegistry.State.READY) {
            drainingSince.remove(key);
        } else {
            drainingSince.putIfAbsent(key, timeline.now());
        }
    }

    // ---- from the workers

    @Override
    public void onArrived(WorkerAttempt attempt, WorkerModel worker) {
        RequestRecord record = records.get(attempt.requestId);
        double now = timeline.now();
        if (record == null) {
            breach(Rule.ONE_ANSWER, "a launch of a submission long over, at " + worker.name, null);
            return;
        }
        record.addEvent(now, "launch at", worker.number);
        ObservedAttempt seen = new ObservedAttempt(record, worker, now);
        long way = linkKey(record.clientAttempt.dispatcher(), worker.number);
        double slack = this.slack + linkDelays.getOrDefault(way, 0.0);
        if (now > record.respondedAt + slack) {
            breach(Rule.ONE_ANSWER, "a launch after the final answer", record);
        }
        boolean timed = !record.startUnknown && !record.pausedMidTurn;
        if (timed && now > record.clientAttempt.sentAt() + record.clientAttempt.timeout() + slack) {
            breach(Rule.ONE_ANSWER, "a launch after the outer limit", record);
        }
        if (timed && now > record.cancelledAt + CANCELLATION_DELAY + slack) {
            breach(
                    Rule.ONE_ANSWER,
                    "a launch " + seconds(now - record.cancelledAt) + " s after its client left",
                    record);
        }
        Double told = drainingSince.get(way);
        if (told != null && now > told + scenario.terms().grace() + slack) {
            breach(
                    Rule.NO_LATE_LAUNCH,
                    "a launch "
                            + seconds(now - told)
                            + " s after "
                            + worker.name
                            + " was told draining or gone",
                    record);
        }
        for (ObservedAttempt earlier : record.attempts) {
            checkRetry(record, earlier, seen, slack);
        }
        record.attempts.add(seen);
        attempt.attachment(seen);
    }

    /** Whether an earlier launch allows this one. */
    private void checkRetry(
            RequestRecord record, ObservedAttempt earlier, ObservedAttempt seen, double slack) {
        Scenario.RequestClass requestClass = record.clientAttempt.request().requestClass();
        if (!scenario.terms().mayHedge() && !earlier.ended) {
            // The end of the earlier connection may be seen a moment later than the new launch.
            timeline.schedule(
                    slack,
                    () -> {
                        if (!earlier.ended) {
                            breach(
                                    Rule.NO_EFFECT_TWICE,
                                    "a second copy while the first is out",
                                    record);
                        }
                    });
        }
        if (earlier.neverRan || requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return;
        }
        if (requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
            breach(Rule.NO_EFFECT_TWICE, "launched again, though it may have run", record);
        } else if (!isSameScope(requestClass.idempotencyScope(), earlier.worker, seen.worker)) {
            breach(Rule.NO_EFFECT_TWICE, "a repeat outside its group", record);
        } else if (seen.arrivedAt > earlier.arrivedAt + requestClass.idempotencyWindow() + slack) {
            breach(Rule.NO_EFFECT_TWICE, "a repeat after its window", record);
        }
    }

    /** A group of the scenario is a cell. */
    private static boolean isSameScope(IdempotencyScope group, WorkerModel one, WorkerModel other) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> one.group.zone().equals(other.group.zone());
            case CELL -> one.group.name().equals(other.group.name());
        };
    }

    private static boolean mayReject(RequestRecord record) {
        Scenario.RequestClass requestClass = record.clientAttempt.request().requestClass();
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                        && requestClass.idempotencyScope() == IdempotencyScope.ALL)) {
            return true;
        }
        return record.attempts.stream().allMatch(launch -> launch.neverRan);
    }

    @Override
    public void onStarted(WorkerAttempt attempt, WorkerModel worker) {
        ObservedAttempt seen = (ObservedAttempt) attempt.attachment();
        if (seen == null) {
            return;
        }
        seen.record.addEvent(timeline.now(), "began at", worker.number);
        // Also over several submissions of one ask: a bounce promises that a retry does no harm.
        Scenario.RequestClass requestClass = seen.record.clientAttempt.request().requestClass();
        if (requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
            Set<Integer> places =
                    effects.computeIfAbsent(
                            seen.record.clientAttempt.request().number(), n -> new HashSet<>());
            if (!places.isEmpty()) {
                breach(Rule.NO_EFFECT_TWICE, "its effect happened twice", seen.record);
            }
            places.add(worker.number);
        }
    }

    @Override
    public void onEnded(
            WorkerAttempt attempt, WorkerModel worker, AttemptEnding ending, boolean told) {
        ObservedAttempt seen = (ObservedAttempt) attempt.attachment();
        if (seen == null) {
            return;
        }
        seen.record.addEvent(
                timeline.now(),
                (told ? ENDING_LABELS : UNDELIVERED_ENDING_LABELS)[ending.ordinal()],
                worker.number);
        if (ending == AttemptEnding.SUCCEEDED) {
            seen.record.succeeded = true;
        }
        if (told) {
            seen.ended = true;
            seen.neverRan = ending.provesNeverRan();
        }
    }

    /** The dispatcher closed the launch's connection. */
    public void onClosed(WorkerAttempt attempt) {
        ObservedAttempt seen = (ObservedAttempt) attempt.attachment();
        if (seen != null && !seen.ended) {
            seen.ended = true;
            seen.record.addEvent(timeline.now(), "connection closed at", seen.worker.number);
        }
    }

    @Override
    public void onCollapsed(WorkerModel worker) {
        breach(Rule.COLD_WORKER, worker.name + " fell over while cold", null);
    }

    // ---- the sum

    private void removeExpired() {
        double now = timeline.now();
        while (!aging.isEmpty()) {
            RequestRecord oldest = aging.peekFirst();
            ClientAttempt clientAttempt = oldest.clientAttempt;
            // One whose time its dispatcher could not know may go on for as long again.
            double outer =
                    clientAttempt.request().requestClass().deadline()
                            * (oldest.startUnknown ? 2 : 1);
            if (now < clientAttempt.sentAt() + outer + RETENTION + slack + maxLinkDelay) {
                return;
            }
            aging.pollFirst();
            records.remove(clientAttempt.key());
            effects.remove(clientAttempt.request().number());
        }
    }

    /** At the end of the run: what is still unanswered, though its time is up. */
    public void finish() {
        for (RequestRecord record : aging) {
            ClientAttempt clientAttempt = record.clientAttempt;
            boolean due = timeline.now() > clientAttempt.sentAt() + clientAttempt.timeout() + slack;
            if (record.response == null && !record.abandoned && !record.excused && due) {
                breach(Rule.ONE_ANSWER, "no answer at all", record);
            }
        }
    }

    private void breach(Rule rule, String what, RequestRecord record) {
        counts.merge(rule, 1, Integer::sum);
        if (breaches.size() < MAX_DETAILED_BREACHES) {
            breaches.add(new Breach(rule, what, record == null ? List.of() : history(record)));
        }
    }

    private List<String> history(RequestRecord record) {
        List<String> lines = new ArrayList<>();
        ClientAttempt s = record.clientAttempt;
        lines.add(
                "ask "
                        + s.request().number()
                        + ", try "
                        + s.number()
                        + ", "
                        + s.request().requestClass().name()
                        + " ("
                        + TomlFields.configuredName(s.request().requestClass().idempotency())
                        + "), waits "
                        + seconds(s.timeout())
                        + " s");
        for (Event event : record.events) {
            lines.add(
                    seconds(event.time() - start)
                            + " s  "
                            + event.text()
                            + (event.worker() < 0 ? "" : " " + event.worker()));
        }
        return lines;
    }

    private static String seconds(double time) {
        return String.format(Locale.ROOT, "%.3f", time);
    }

    public List<Breach> breaches() {
        return List.copyOf(breaches);
    }

    public int count(Rule rule) {
        return counts.getOrDefault(rule, 0);
    }

    /** Submissions whose records are kept. */
    int recordCount() {
        return records.size();
    }

    public int total() {
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }
}
