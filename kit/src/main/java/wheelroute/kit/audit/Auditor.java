package wheelroute.kit.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
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
    public record Breach(Rule rule, String what, List<String> history) {}

    /** Breaches told in full; more of them are counted. */
    private static final int MOST_TOLD = 20;

    /** After its outer limit a submission's record is kept for so long. */
    private static final double KEEP = 1;

    /**
     * From a submission's sending to the end of the turn in which it is launched; no program sees a
     * stop in it.
     */
    private static final double TURN = 0.02;

    /**
     * That a client left while its submission waited is seen within this: nothing goes out for it.
     */
    private static final double LEFT = 0.3;

    /** Words of the histories, made once: they are noted millions of times and seldom read. */
    private static final String[] ANSWERED = words("answered ", FinalResponse.values(), "");

    private static final String[] ENDED = words("", AttemptEnding.values(), " at");
    private static final String[] ENDED_UNTOLD = words("untold: ", AttemptEnding.values(), " at");

    private final Scenario scenario;
    private final Timeline timeline;

    /** What the ways to and fro, and the machine's own lateness, may add to any time. */
    private final double slack;

    private final Map<Long, RequestRecord> records = new HashMap<>();
    private final ArrayDeque<RequestRecord> aging = new ArrayDeque<>();

    /** By dispatcher and worker: since when it is told draining or gone. */
    private final Map<Long, Double> toldLeaving = new HashMap<>();

    private final Map<Integer, Set<Integer>> effects = new HashMap<>();
    private final Set<Integer> deadDispatchers = new HashSet<>();

    /**
     * Since when processes stand still: what they hold cannot be answered, and is no fault of
     * theirs.
     */
    private final Map<Integer, Double> pausedSince = new HashMap<>();

    /** Dispatchers the ways to whose clients are harmed: how long those wait they cannot know. */
    private final Set<Integer> unheard = new HashSet<>();

    private final Set<Integer> halved = new HashSet<>();

    /**
     * By dispatcher and worker: how much later what is sent between them may come now, or could
     * lately.
     */
    private final Map<Long, Double> later = new HashMap<>();

    private double mostLater;
    private final List<Breach> breaches = new ArrayList<>();
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);
    private double start;

    /** One event in a submission's life. */
    private record Event(double at, String what, int worker) {}

    /** One launch as its worker saw it. */
    private static final class ObservedAttempt {
        final RequestRecord of;
        final WorkerModel worker;
        final double arrivedAt;
        boolean over;
        boolean neverRan;

        ObservedAttempt(RequestRecord of, WorkerModel worker, double arrivedAt) {
            this.of = of;
            this.worker = worker;
            this.arrivedAt = arrivedAt;
        }
    }

    /** One submission. */
    private static final class RequestRecord {
        final ClientAttempt submitted;
        final List<ObservedAttempt> launches = new ArrayList<>(2);
        final List<Event> events = new ArrayList<>();
        FinalResponse answer;
        double answeredAt = Double.NaN;

        /** When its client hung up of its own wish, before any answer. */
        double leftAt = Double.NaN;

        boolean given;
        boolean excused;

        /**
         * It came by a way that was harmed: when its time began, nobody could tell its dispatcher.
         */
        boolean untimed;

        /**
         * Its process was stopped in the moment of its taking: what that turn had begun goes on
         * with it.
         */
        boolean midTurn;

        boolean done;

        RequestRecord(ClientAttempt submitted) {
            this.submitted = submitted;
        }

        void note(double at, String what, int worker) {
            events.add(new Event(at, what, worker));
        }
    }

    public Auditor(Scenario scenario, Timeline timeline, double slack) {
        this.scenario = scenario;
        this.timeline = timeline;
        this.slack = slack;
        start = timeline.now();
    }

    private static String[] words(String before, Enum<?>[] constants, String after) {
        String[] words = new String[constants.length];
        for (Enum<?> constant : constants) {
            words[constant.ordinal()] = before + constant.name().toLowerCase(Locale.ROOT) + after;
        }
        return words;
    }

    /** Histories count from here. */
    public void beginsNow() {
        start = timeline.now();
    }

    // ---- from the clients

    public void sent(ClientAttempt submitted) {
        RequestRecord record = new RequestRecord(submitted);
        record.note(timeline.now(), "sent to dispatcher", submitted.dispatcher());
        record.untimed = unheard.contains(submitted.dispatcher());
        record.excused =
                record.untimed
                        || pausedSince.containsKey(submitted.dispatcher())
                        || halved.contains(submitted.dispatcher());
        Double stopped = pausedSince.get(submitted.dispatcher());
        record.midTurn = stopped != null && timeline.now() - stopped < TURN;
        records.put(submitted.key(), record);
        aging.addLast(record);
        forgetOld();
    }

    public void answered(ClientAttempt submitted, FinalResponse answer) {
        RequestRecord record = records.get(submitted.key());
        if (record == null) {
            breach(Rule.ONE_ANSWER, "an answer to a submission long over", null);
            return;
        }
        double now = timeline.now();
        record.note(now, ANSWERED[answer.ordinal()], -1);
        if (record.answer != null) {
            breach(Rule.ONE_ANSWER, "a second final answer", record);
            return;
        }
        record.answer = answer;
        record.answeredAt = now;
        if (!record.excused && now > submitted.sentAt() + submitted.timeout() + slack) {
            breach(Rule.ONE_ANSWER, "an answer after the outer limit", record);
        }
        if (answer == FinalResponse.FULFILLED && !record.done) {
            breach(Rule.ONE_ANSWER, "fulfilled with what no worker made for it", record);
        }
        if (answer == FinalResponse.BOUNCED && !mayBounce(record)) {
            breach(Rule.NO_EFFECT_TWICE, "bounced, though it may have run", record);
        }
    }

    /**
     * The client stopped waiting: its own wish is no fault of the dispatcher, its time being up is.
     */
    public void gaveUp(ClientAttempt submitted, boolean ownWish) {
        RequestRecord record = records.get(submitted.key());
        if (record == null) {
            return;
        }
        record.note(timeline.now(), ownWish ? "client hung up" : "client's time is up", -1);
        record.given = true;
        if (ownWish && record.answer == null) {
            record.leftAt = timeline.now();
        }
        if (!ownWish && !record.excused && record.answer == null) {
            breach(Rule.ONE_ANSWER, "no answer before the outer limit", record);
        }
    }

    /** Its connection ended without an answer: allowed only to a dispatcher that died. */
    public void cutOff(ClientAttempt submitted) {
        RequestRecord record = records.get(submitted.key());
        if (record == null) {
            return;
        }
        record.note(timeline.now(), "connection lost", -1);
        record.given = true;
        if (!record.excused && !deadDispatchers.contains(submitted.dispatcher())) {
            breach(Rule.ONE_ANSWER, "the connection ended without an answer", record);
        }
    }

    /** Its connection never came up: no dispatcher has taken it, so none owes an answer. */
    public void refused(ClientAttempt submitted) {
        RequestRecord record = records.get(submitted.key());
        if (record != null) {
            record.note(timeline.now(), "connection refused", -1);
            record.given = true;
        }
    }

    /** It ended, and nobody had told it to. */
    public void crashed(int dispatcher, String lastWords) {
        breach(Rule.STAYS_UP, "dispatcher " + dispatcher + " ended unasked; " + lastWords, null);
    }

    /** What it held is lost with it, and no fault of the rules; what it launched still counts. */
    public void dispatcherDied(int dispatcher) {
        deadDispatchers.add(dispatcher);
        pausedSince.remove(dispatcher);
        excuse(dispatcher);
        toldLeaving.keySet().removeIf(key -> key >> Integer.SIZE == dispatcher);
    }

    /**
     * One of its two processes is being killed, until it is gone, or both stand still: what that
     * one holds, or is handed meanwhile, is lost, and which it holds nobody can tell.
     */
    public void dispatcherHalved(int dispatcher, boolean begins) {
        if (begins) {
            halved.add(dispatcher);
            excuse(dispatcher);
        } else {
            halved.remove(dispatcher);
        }
    }

    public void dispatcherBorn(int dispatcher) {
        deadDispatchers.remove(dispatcher);
    }

    private void excuse(int dispatcher) {
        for (RequestRecord record : records.values()) {
            if (record.submitted.dispatcher() == dispatcher && record.answer == null) {
                record.excused = true;
            }
        }
    }

    /**
     * What is sent on this way comes so much later at most from here on; that alone is no late
     * launch.
     */
    public void wayLater(int dispatcher, int worker, double by) {
        long key = way(dispatcher, worker);
        mostLater = Math.max(mostLater, by);
        double before = later.getOrDefault(key, 0.0);
        if (by >= before) {
            later.put(key, by);
        } else {
            // What is on it still comes as late as that.
            timeline.after(before, () -> later.replace(key, before, by));
        }
    }

    private static long way(int dispatcher, int worker) {
        return (long) dispatcher << Integer.SIZE | worker;
    }

    /** Null for one that is not remembered. */
    public ClientAttempt submitted(long key) {
        RequestRecord record = records.get(key);
        return record == null ? null : record.submitted;
    }

    /**
     * What is on its way to or from clients may come late or never: what was launched still counts.
     */
    public void clientsHarmed(int dispatcher, boolean harmed) {
        if (harmed) {
            unheard.add(dispatcher);
            excuse(dispatcher);
            records.values().stream()
                    .filter(r -> r.submitted.dispatcher() == dispatcher && r.answer == null)
                    .forEach(r -> r.untimed = true);
        } else {
            unheard.remove(dispatcher);
        }
    }

    /**
     * What it holds may go without an answer from here; whatever it launches still counts, also
     * later.
     */
    public void dispatcherPaused(int dispatcher) {
        double now = timeline.now();
        pausedSince.put(dispatcher, now);
        excuse(dispatcher);
        records.values().stream()
                .filter(
                        r ->
                                r.submitted.dispatcher() == dispatcher
                                        && now - r.submitted.sentAt() < TURN)
                .forEach(r -> r.midTurn = true);
    }

    /** What it was told while it stood still it can have heard only now. */
    public void dispatcherWoke(int dispatcher) {
        Double since = pausedSince.remove(dispatcher);
        if (since != null) {
            double now = timeline.now();
            toldLeaving.replaceAll(
                    (key, at) -> key >> Integer.SIZE == dispatcher && at >= since ? now : at);
        }
    }

    // ---- from the list

    public void told(int dispatcher, int worker, EndpointRegistry.State state) {
        long key = way(dispatcher, worker);
        if (state == EndpointRegistry.State.READY) {
            toldLeaving.remove(key);
        } else {
            toldLeaving.putIfAbsent(key, timeline.now());
        }
    }

    // ---- from the workers

    @Override
    public void arrived(WorkerAttempt launch, WorkerModel worker) {
        RequestRecord record = records.get(launch.submission);
        double now = timeline.now();
        if (record == null) {
            breach(Rule.ONE_ANSWER, "a launch of a submission long over, at " + worker.name, null);
            return;
        }
        record.note(now, "launch at", worker.number);
        ObservedAttempt seen = new ObservedAttempt(record, worker, now);
        long way = way(record.submitted.dispatcher(), worker.number);
        double slack = this.slack + later.getOrDefault(way, 0.0);
        if (now > record.answeredAt + slack) {
            breach(Rule.ONE_ANSWER, "a launch after the final answer", record);
        }
        boolean timed = !record.untimed && !record.midTurn;
        if (timed && now > record.submitted.sentAt() + record.submitted.timeout() + slack) {
            breach(Rule.ONE_ANSWER, "a launch after the outer limit", record);
        }
        if (timed && now > record.leftAt + LEFT + slack) {
            breach(
                    Rule.ONE_ANSWER,
                    "a launch " + seconds(now - record.leftAt) + " s after its client left",
                    record);
        }
        Double told = toldLeaving.get(way);
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
        for (ObservedAttempt earlier : record.launches) {
            checkAgain(record, earlier, seen, slack);
        }
        record.launches.add(seen);
        launch.mark(seen);
    }

    /** Whether an earlier launch allows this one. */
    private void checkAgain(
            RequestRecord record, ObservedAttempt earlier, ObservedAttempt seen, double slack) {
        Scenario.RequestClass offering = record.submitted.ask().offering();
        if (!scenario.terms().mayCopy() && !earlier.over) {
            // The end of the earlier connection may be seen a moment later than the new launch.
            timeline.after(
                    slack,
                    () -> {
                        if (!earlier.over) {
                            breach(
                                    Rule.NO_EFFECT_TWICE,
                                    "a second copy while the first is out",
                                    record);
                        }
                    });
        }
        if (earlier.neverRan || offering.effect() == Idempotency.IDEMPOTENT) {
            return;
        }
        if (offering.effect() == Idempotency.NON_IDEMPOTENT) {
            breach(Rule.NO_EFFECT_TWICE, "launched again, though it may have run", record);
        } else if (!sameGroup(offering.group(), earlier.worker, seen.worker)) {
            breach(Rule.NO_EFFECT_TWICE, "a repeat outside its group", record);
        } else if (seen.arrivedAt > earlier.arrivedAt + offering.window() + slack) {
            breach(Rule.NO_EFFECT_TWICE, "a repeat after its window", record);
        }
    }

    /** A group of the scenario is a cell. */
    private static boolean sameGroup(IdempotencyScope group, WorkerModel one, WorkerModel other) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> one.group.zone().equals(other.group.zone());
            case CELL -> one.group.name().equals(other.group.name());
        };
    }

    private static boolean mayBounce(RequestRecord record) {
        Scenario.RequestClass offering = record.submitted.ask().offering();
        if (offering.effect() == Idempotency.IDEMPOTENT
                || (offering.effect() == Idempotency.IDEMPOTENT_BY_KEY
                        && offering.group() == IdempotencyScope.ALL)) {
            return true;
        }
        return record.launches.stream().allMatch(launch -> launch.neverRan);
    }

    @Override
    public void began(WorkerAttempt launch, WorkerModel worker) {
        ObservedAttempt seen = (ObservedAttempt) launch.mark();
        if (seen == null) {
            return;
        }
        seen.of.note(timeline.now(), "began at", worker.number);
        // Also over several submissions of one ask: a bounce promises that a retry does no harm.
        Scenario.RequestClass offering = seen.of.submitted.ask().offering();
        if (offering.effect() == Idempotency.NON_IDEMPOTENT) {
            Set<Integer> places =
                    effects.computeIfAbsent(seen.of.submitted.ask().number(), n -> new HashSet<>());
            if (!places.isEmpty()) {
                breach(Rule.NO_EFFECT_TWICE, "its effect happened twice", seen.of);
            }
            places.add(worker.number);
        }
    }

    @Override
    public void ended(
            WorkerAttempt launch, WorkerModel worker, AttemptEnding ending, boolean told) {
        ObservedAttempt seen = (ObservedAttempt) launch.mark();
        if (seen == null) {
            return;
        }
        seen.of.note(
                timeline.now(), (told ? ENDED : ENDED_UNTOLD)[ending.ordinal()], worker.number);
        if (ending == AttemptEnding.DONE) {
            seen.of.done = true;
        }
        if (told) {
            seen.over = true;
            seen.neverRan = ending.provesNeverRan();
        }
    }

    /** The dispatcher closed the launch's connection. */
    public void closed(WorkerAttempt launch) {
        ObservedAttempt seen = (ObservedAttempt) launch.mark();
        if (seen != null && !seen.over) {
            seen.over = true;
            seen.of.note(timeline.now(), "connection closed at", seen.worker.number);
        }
    }

    @Override
    public void fell(WorkerModel worker) {
        breach(Rule.COLD_WORKER, worker.name + " fell over while cold", null);
    }

    // ---- the sum

    private void forgetOld() {
        double now = timeline.now();
        while (!aging.isEmpty()) {
            RequestRecord oldest = aging.peekFirst();
            ClientAttempt submitted = oldest.submitted;
            // One whose time its dispatcher could not know may go on for as long again.
            double outer = submitted.ask().offering().outer() * (oldest.untimed ? 2 : 1);
            if (now < submitted.sentAt() + outer + KEEP + slack + mostLater) {
                return;
            }
            aging.pollFirst();
            records.remove(submitted.key());
            effects.remove(submitted.ask().number());
        }
    }

    /** At the end of the run: what is still unanswered, though its time is up. */
    public void finish() {
        for (RequestRecord record : aging) {
            ClientAttempt submitted = record.submitted;
            boolean due = timeline.now() > submitted.sentAt() + submitted.timeout() + slack;
            if (record.answer == null && !record.given && !record.excused && due) {
                breach(Rule.ONE_ANSWER, "no answer at all", record);
            }
        }
    }

    private void breach(Rule rule, String what, RequestRecord record) {
        counts.merge(rule, 1, Integer::sum);
        if (breaches.size() < MOST_TOLD) {
            breaches.add(new Breach(rule, what, record == null ? List.of() : history(record)));
        }
    }

    private List<String> history(RequestRecord record) {
        List<String> lines = new ArrayList<>();
        ClientAttempt s = record.submitted;
        lines.add(
                "ask "
                        + s.ask().number()
                        + ", try "
                        + s.attempt()
                        + ", "
                        + s.ask().offering().name()
                        + " ("
                        + TomlFields.configuredName(s.ask().offering().effect())
                        + "), waits "
                        + seconds(s.timeout())
                        + " s");
        for (Event event : record.events) {
            lines.add(
                    seconds(event.at() - start)
                            + " s  "
                            + event.what()
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
    int remembered() {
        return records.size();
    }

    public int total() {
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }
}
