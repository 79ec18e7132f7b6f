package wheelroute.kit.audit;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import wheelroute.decision.Idempotency;
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
 * Checks the rules on what workers and clients observe. A request's record is kept until no event
 * can break a rule any more, so that a run of any length takes bounded memory.
 */
public final class Auditor implements EventListener {
    /**
     * A broken rule.
     *
     * @param history of the request concerned, in lines of text; empty for no request
     */
    public record Breach(Rule rule, String description, List<String> history) {}

    /** How long a request's record is kept after its deadline. */
    private static final double RETENTION = 1;

    /** From a request's sending to the end of the event in which the dispatcher accepts it. */
    private static final double TURN_DURATION = 0.02;

    /** Texts of the histories, made once: they are noted millions of times and seldom read. */
    private static final String[] RESPONSE_LABELS =
            labels("answered ", FinalResponse.values(), FinalResponse::reportName, "");

    private static final String[] ENDING_LABELS =
            labels("", AttemptEnding.values(), AttemptEnding::reportName, " at");
    private static final String[] UNDELIVERED_ENDING_LABELS =
            labels("untold: ", AttemptEnding.values(), AttemptEnding::reportName, " at");

    private final Timeline timeline;

    /** What the network and the lateness of the machine may add to any time. */
    private final double slack;

    private final DispatcherConditions conditions;
    private final BreachLog breaches;
    private final AttemptRules attemptRules;
    private final Map<Long, RequestRecord> records = new HashMap<>();
    private final Deque<RequestRecord> recordsByAge = new ArrayDeque<>();

    /** By request: the workers that have started a non-idempotent one. */
    private final Map<Integer, Set<Integer>> effects = new HashMap<>();

    /**
     * Creates an auditor of one run.
     *
     * @param slack seconds that any event may be late by without fault of a dispatcher
     */
    public Auditor(Scenario scenario, Timeline timeline, double slack) {
        this.timeline = timeline;
        this.slack = slack;
        conditions = new DispatcherConditions(timeline);
        breaches = new BreachLog(timeline.now());
        attemptRules = new AttemptRules(scenario, timeline, conditions, breaches);
    }

    /** One label for each constant, by its ordinal. */
    private static <E extends Enum<E>> String[] labels(
            String prefix, E[] constants, Function<E, String> name, String suffix) {
        return Arrays.stream(constants)
                .map(constant -> prefix + name.apply(constant) + suffix)
                .toArray(String[]::new);
    }

    /** Histories show times from now on. */
    public void start() {
        breaches.startAt(timeline.now());
    }

    // ---- events at clients

    /** A client has sent an attempt. */
    public void onSent(ClientAttempt clientAttempt) {
        int dispatcher = clientAttempt.dispatcher();
        RequestRecord record = new RequestRecord(clientAttempt);
        record.addEvent(timeline.now(), "sent to dispatcher", dispatcher);
        record.startUnknown = conditions.areClientsImpaired(dispatcher);
        record.excused = conditions.excusesRequests(dispatcher);
        Double pausedSince = conditions.pausedSince(dispatcher);
        record.pausedMidTurn = pausedSince != null && timeline.now() - pausedSince < TURN_DURATION;
        records.put(clientAttempt.key(), record);
        recordsByAge.addLast(record);
        removeExpired();
    }

    /** A client has received a final response. */
    public void onResponse(ClientAttempt clientAttempt, FinalResponse response) {
        RequestRecord record = records.get(clientAttempt.key());
        if (record == null) {
            breaches.add(Rule.ONE_FINAL_ANSWER, "an answer to a submission long over", null);
            return;
        }
        double now = timeline.now();
        record.addEvent(now, RESPONSE_LABELS[response.ordinal()]);
        if (record.response != null) {
            breaches.add(Rule.ONE_FINAL_ANSWER, "a second final answer", record);
            return;
        }
        record.response = response;
        record.respondedAt = now;
        if (!record.excused && now > record.deadline() + slack) {
            breaches.add(Rule.ONE_FINAL_ANSWER, "an answer after the outer limit", record);
        }
        if (response == FinalResponse.SUCCEEDED && !record.succeeded) {
            breaches.add(
                    Rule.ONE_FINAL_ANSWER, "fulfilled with what no worker made for it", record);
        }
        if (response == FinalResponse.REJECTED && !AttemptRules.mayReject(record)) {
            breaches.add(Rule.AT_MOST_ONE_EFFECT, "bounced, though it may have run", record);
        }
    }

    /**
     * A client waits no longer.
     *
     * @param ownWish whether it cancelled; else its timeout was reached, for which the dispatcher
     *     is to blame
     */
    public void onAbandoned(ClientAttempt clientAttempt, boolean ownWish) {
        RequestRecord record = records.get(clientAttempt.key());
        if (record == null) {
            return;
        }
        record.addEvent(timeline.now(), ownWish ? "client hung up" : "client's time is up");
        record.abandoned = true;
        if (ownWish && record.response == null) {
            record.cancelledAt = timeline.now();
        }
        if (!ownWish && !record.excused && record.response == null) {
            breaches.add(Rule.ONE_FINAL_ANSWER, "no answer before the outer limit", record);
        }
    }

    /** A client's connection ended without a response, as only a killed dispatcher may do it. */
    public void onConnectionLost(ClientAttempt clientAttempt) {
        RequestRecord record = records.get(clientAttempt.key());
        if (record == null) {
            return;
        }
        record.addEvent(timeline.now(), "connection lost");
        record.abandoned = true;
        if (!record.excused && !conditions.isStopped(clientAttempt.dispatcher())) {
            breaches.add(Rule.ONE_FINAL_ANSWER, "the connection ended without an answer", record);
        }
    }

    /** A client's connection was refused, so no dispatcher owes a response. */
    public void onRefused(ClientAttempt clientAttempt) {
        RequestRecord record = records.get(clientAttempt.key());
        if (record != null) {
            record.addEvent(timeline.now(), "connection refused");
            record.abandoned = true;
        }
    }

    // ---- events at dispatchers

    /** A dispatcher's process ended of its own accord. */
    public void onCrash(int dispatcher, String lastWords) {
        String description = "dispatcher " + dispatcher + " ended unasked; " + lastWords;
        breaches.add(Rule.NO_CRASH, description, null);
    }

    /** A dispatcher was killed or has ended: its requests are lost, its attempts still count. */
    public void onDispatcherStopped(int dispatcher) {
        conditions.onStopped(dispatcher);
        excusePending(dispatcher);
    }

    /**
     * One of a dispatcher's two processes is being killed, or both are paused. Requests of that
     * process may be lost until this ends, and which these are cannot be told from outside.
     */
    public void setDispatcherSplit(int dispatcher, boolean isSplit) {
        conditions.setSplit(dispatcher, isSplit);
        if (isSplit) {
            excusePending(dispatcher);
        }
    }

    /** A dispatcher's process has started. */
    public void onDispatcherStarted(int dispatcher) {
        conditions.onStarted(dispatcher);
    }

    /** Messages to or from a dispatcher's clients may be late or lost; attempts still count. */
    public void setClientsImpaired(int dispatcher, boolean isImpaired) {
        conditions.setClientsImpaired(dispatcher, isImpaired);
        if (isImpaired) {
            excusePending(dispatcher);
            forEachRecord(
                    record -> record.dispatcher() == dispatcher && record.response == null,
                    record -> record.startUnknown = true);
        }
    }

    /** Pending requests may stay without a response; attempts still count, also later. */
    public void onDispatcherPaused(int dispatcher) {
        double now = timeline.now();
        conditions.onPaused(dispatcher);
        excusePending(dispatcher);
        forEachRecord(
                record ->
                        record.dispatcher() == dispatcher
                                && now - record.clientAttempt.sentAt() < TURN_DURATION,
                record -> record.pausedMidTurn = true);
    }

    /** A pause is over. */
    public void onDispatcherResumed(int dispatcher) {
        conditions.onResumed(dispatcher);
    }

    /** Messages from a dispatcher to a worker are late by at most this from now on. */
    public void setLinkDelay(int dispatcher, int worker, double delay) {
        conditions.setLinkDelay(dispatcher, worker, delay);
    }

    /** A dispatcher has received a worker's state from discovery. */
    public void onNotified(int dispatcher, int worker, EndpointRegistry.State state) {
        conditions.onNotified(dispatcher, worker, state);
    }

    private void excusePending(int dispatcher) {
        forEachRecord(
                record -> record.dispatcher() == dispatcher && record.response == null,
                record -> record.excused = true);
    }

    private void forEachRecord(Predicate<RequestRecord> condition, Consumer<RequestRecord> task) {
        records.values().stream().filter(condition).forEach(task);
    }

    // ---- events at workers

    @Override
    public void onArrived(WorkerAttempt attempt, WorkerModel worker) {
        RequestRecord record = records.get(attempt.requestId);
        double now = timeline.now();
        if (record == null) {
            String description = "a launch of a submission long over, at " + worker.name;
            breaches.add(Rule.ONE_FINAL_ANSWER, description, null);
            return;
        }
        record.addEvent(now, "launch at", worker.number);
        ObservedAttempt observed = new ObservedAttempt(record, worker, now);
        double linkDelay = conditions.linkDelay(record.dispatcher(), worker.number);
        attemptRules.checkArrival(observed, slack + linkDelay);
        record.attempts.add(observed);
        attempt.attachment(observed);
    }

    @Override
    public void onStarted(WorkerAttempt attempt, WorkerModel worker) {
        ObservedAttempt observed = (ObservedAttempt) attempt.attachment();
        if (observed == null) {
            return;
        }
        RequestRecord record = observed.record;
        record.addEvent(timeline.now(), "began at", worker.number);
        // Over all attempts of a client: a rejection promises that a retry is safe.
        if (record.requestClass().idempotency() == Idempotency.NON_IDEMPOTENT) {
            int request = record.clientAttempt.request().number();
            Set<Integer> workers = effects.computeIfAbsent(request, key -> new HashSet<>());
            if (!workers.isEmpty()) {
                breaches.add(Rule.AT_MOST_ONE_EFFECT, "its effect happened twice", record);
            }
            workers.add(worker.number);
        }
    }

    @Override
    public void onEnded(
            WorkerAttempt attempt, WorkerModel worker, AttemptEnding ending, boolean delivered) {
        ObservedAttempt observed = (ObservedAttempt) attempt.attachment();
        if (observed == null) {
            return;
        }
        String[] labels = delivered ? ENDING_LABELS : UNDELIVERED_ENDING_LABELS;
        observed.record.addEvent(timeline.now(), labels[ending.ordinal()], worker.number);
        if (ending == AttemptEnding.SUCCEEDED) {
            observed.record.succeeded = true;
        }
        if (delivered) {
            observed.ended = true;
            observed.neverRan = ending.provesNeverRan();
        }
    }

    /** A dispatcher has closed an attempt's connection. */
    public void onClosed(WorkerAttempt attempt) {
        ObservedAttempt observed = (ObservedAttempt) attempt.attachment();
        if (observed != null && !observed.ended) {
            observed.ended = true;
            observed.record.addEvent(
                    timeline.now(), "connection closed at", observed.worker.number);
        }
    }

    @Override
    public void onCollapsed(WorkerModel worker) {
        breaches.add(Rule.NO_SLOW_START_OVERLOAD, worker.name + " fell over while cold", null);
    }

    // ---- results

    private void removeExpired() {
        double now = timeline.now();
        while (!recordsByAge.isEmpty()) {
            RequestRecord oldest = recordsByAge.peekFirst();
            ClientAttempt clientAttempt = oldest.clientAttempt;
            // A dispatcher that cannot know when the time began may count it twice.
            double deadline =
                    oldest.requestClass().deadlineSeconds() * (oldest.startUnknown ? 2 : 1);
            double expiry = clientAttempt.sentAt() + deadline + RETENTION + slack;
            if (now < expiry + conditions.maxLinkDelay()) {
                return;
            }
            recordsByAge.pollFirst();
            records.remove(clientAttempt.key());
            effects.remove(clientAttempt.request().number());
        }
    }

    /** At the end of the run: finds requests without a response whose deadline has passed. */
    public void finish() {
        for (RequestRecord record : recordsByAge) {
            boolean isDue = timeline.now() > record.deadline() + slack;
            if (record.response == null && !record.abandoned && !record.excused && isDue) {
                breaches.add(Rule.ONE_FINAL_ANSWER, "no answer at all", record);
            }
        }
    }

    /** The first breaches, in order; not all are kept. */
    public List<Breach> breaches() {
        return breaches.breaches();
    }

    /** The number of breaches of a rule. */
    public int count(Rule rule) {
        return breaches.count(rule);
    }

    /** The number of breaches of all rules. */
    public int total() {
        return breaches.total();
    }

    /** A client's attempt by its key; null for one whose record is not kept any more. */
    public ClientAttempt clientAttempt(long key) {
        RequestRecord record = records.get(key);
        return record == null ? null : record.clientAttempt;
    }

    /** The number of records that are kept. */
    int recordCount() {
        return records.size();
    }
}
