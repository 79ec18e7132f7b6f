package wheelroute.kit.audit;

import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import wheelroute.decision.Idempotency;
import wheelroute.kit.model.AttemptEnding;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.EndpointRegistry;
import wheelroute.kit.model.FinalResponse;
import wheelroute.kit.model.Timeline;
import wheelroute.kit.model.WorkerAttempt;
import wheelroute.kit.model.WorkerEventListener;
import wheelroute.kit.model.WorkerModel;
import wheelroute.kit.scenario.Scenario;

/**
 * Checks the rules against the observations of workers and clients. The record of a request is
 * removed when no event can break a rule any more, so that memory is bounded in a run of any
 * length.
 *
 * <p>Not thread-safe: all calls come from tasks of the run's timeline.
 */
public final class Auditor implements WorkerEventListener {
    /**
     * A breach of a rule.
     *
     * @param history the events of the request concerned, in lines of text; empty if the breach
     *     concerns no single request
     */
    public record Breach(Rule rule, String description, List<String> history) {}

    /** The maximum time from the sending of a request until the dispatcher has accepted it. */
    private static final double ACCEPTANCE_SECONDS = 0.02;

    /** Texts of histories, which are created once because each is added millions of times. */
    private static final String[] RESPONSE_LABELS =
            labels("response: ", FinalResponse.values(), FinalResponse::label, "");

    private static final String[] ENDING_LABELS =
            labels("", AttemptEnding.values(), AttemptEnding::label, " at worker");
    private static final String[] UNDELIVERED_ENDING_LABELS =
            labels("undelivered: ", AttemptEnding.values(), AttemptEnding::label, " at worker");

    private final Timeline timeline;

    /** The delay that network and machine may add to any event. */
    private final double slackSeconds;

    private final DispatcherConditions conditions;
    private final BreachLog breaches;
    private final AttemptRules attemptRules;
    private final RequestRecords records = new RequestRecords();

    /**
     * Creates an auditor of one run.
     *
     * @param slackSeconds how late any event may be without a fault of a dispatcher
     */
    public Auditor(Scenario scenario, Timeline timeline, double slackSeconds) {
        this.timeline = timeline;
        this.slackSeconds = slackSeconds;
        conditions = new DispatcherConditions(timeline);
        breaches = new BreachLog(timeline.now());
        attemptRules = new AttemptRules(scenario, timeline, conditions, breaches);
    }

    /** Returns the labels of the constants, indexed by ordinal. */
    private static <E extends Enum<E>> String[] labels(
            String prefix, E[] constants, Function<E, String> name, String suffix) {
        return Arrays.stream(constants)
                .map(constant -> prefix + name.apply(constant) + suffix)
                .toArray(String[]::new);
    }

    /** Sets the current time as the start of the run, to which times in histories are relative. */
    public void start() {
        breaches.startAt(timeline.now());
    }

    /** Records that a client has sent an attempt. */
    public void onSent(ClientAttempt clientAttempt) {
        int dispatcher = clientAttempt.dispatcher();
        RequestRecord record = new RequestRecord(clientAttempt);
        record.addEvent(timeline.now(), "sent to dispatcher", dispatcher);
        record.sendTimeUnknown = conditions.areClientsImpaired(dispatcher);
        record.excused = conditions.excusesRequests(dispatcher);
        Double pausedSince = conditions.pausedSince(dispatcher);
        record.pausedDuringAcceptance =
                pausedSince != null && timeline.now() - pausedSince < ACCEPTANCE_SECONDS;
        records.add(record);
        records.removeExpired(timeline.now(), slackSeconds, conditions.maxLinkDelay());
    }

    /** Records and checks a final response that a client has received. */
    public void onResponse(ClientAttempt clientAttempt, FinalResponse response) {
        RequestRecord record = records.find(clientAttempt.key());
        if (record == null) {
            breaches.add(Rule.ONE_FINAL_ANSWER, "a response long after the deadline", null);
            return;
        }
        double now = timeline.now();
        record.addEvent(now, RESPONSE_LABELS[response.ordinal()]);
        if (record.response != null) {
            breaches.add(Rule.ONE_FINAL_ANSWER, "a second final response", record);
            return;
        }
        record.response = response;
        record.respondedAt = now;
        if (!record.excused && now > record.deadline() + slackSeconds) {
            breaches.add(Rule.ONE_FINAL_ANSWER, "a response after the deadline", record);
        }
        if (response == FinalResponse.SUCCEEDED && !record.succeeded) {
            breaches.add(Rule.ONE_FINAL_ANSWER, "success without a completed attempt", record);
        }
        if (response == FinalResponse.REJECTED && !AttemptRules.mayReject(record)) {
            breaches.add(Rule.AT_MOST_ONE_EFFECT, "rejected, though it may have run", record);
        }
    }

    /**
     * Records that a client has stopped waiting for a response.
     *
     * @param cancelled whether the client cancelled; otherwise its timeout was reached, which is a
     *     breach by the dispatcher
     */
    public void onAbandoned(ClientAttempt clientAttempt, boolean cancelled) {
        RequestRecord record = records.find(clientAttempt.key());
        if (record == null) {
            return;
        }
        record.addEvent(timeline.now(), cancelled ? "cancelled by client" : "client's timeout");
        record.abandoned = true;
        if (cancelled && record.response == null) {
            record.cancelledAt = timeline.now();
        }
        if (!cancelled && !record.excused && record.response == null) {
            breaches.add(Rule.ONE_FINAL_ANSWER, "no response before the deadline", record);
        }
    }

    /** Records a lost connection; only a stopped dispatcher may end one without a response. */
    public void onConnectionLost(ClientAttempt clientAttempt) {
        RequestRecord record = records.find(clientAttempt.key());
        if (record == null) {
            return;
        }
        record.addEvent(timeline.now(), "connection lost");
        record.abandoned = true;
        if (!record.excused && !conditions.isStopped(clientAttempt.dispatcher())) {
            breaches.add(Rule.ONE_FINAL_ANSWER, "the connection ended without a response", record);
        }
    }

    /** Records that a client's connection was refused, so that no dispatcher has to respond. */
    public void onRefused(ClientAttempt clientAttempt) {
        RequestRecord record = records.find(clientAttempt.key());
        if (record != null) {
            record.addEvent(timeline.now(), "connection refused");
            record.abandoned = true;
        }
    }

    /**
     * Records that a dispatcher's process ended although the run did not stop it.
     *
     * @param lastOutput the last lines that the process logged
     */
    public void onCrash(int dispatcher, String lastOutput) {
        String description = "dispatcher " + dispatcher + " crashed; " + lastOutput;
        breaches.add(Rule.NO_CRASH, description, null);
    }

    /**
     * Records that a dispatcher was killed or has ended. Its pending requests may stay without a
     * response, but its attempts are still checked.
     */
    public void onDispatcherStopped(int dispatcher) {
        conditions.onStopped(dispatcher);
        excusePending(dispatcher);
    }

    /**
     * Records whether a fault affects a dispatcher while it has two processes: one of them is being
     * killed, or both are paused. Until the fault ends any request may stay without a response,
     * because the process that has a request cannot be observed from outside.
     */
    public void setHandoverDisrupted(int dispatcher, boolean isDisrupted) {
        conditions.setHandoverDisrupted(dispatcher, isDisrupted);
        if (isDisrupted) {
            excusePending(dispatcher);
        }
    }

    /** Records that a process of a dispatcher has started. */
    public void onDispatcherStarted(int dispatcher) {
        conditions.onStarted(dispatcher);
    }

    /**
     * Records whether messages between a dispatcher and its clients may be late or lost. Responses
     * may then be missing, but attempts are still checked.
     */
    public void setClientsImpaired(int dispatcher, boolean isImpaired) {
        conditions.setClientsImpaired(dispatcher, isImpaired);
        if (isImpaired) {
            excusePending(dispatcher);
            records.forEach(
                    record -> record.dispatcher() == dispatcher && record.response == null,
                    record -> record.sendTimeUnknown = true);
        }
    }

    /**
     * Records that a dispatcher was paused. Its pending requests may stay without a response, but
     * its attempts are still checked, also after the pause.
     */
    public void onDispatcherPaused(int dispatcher) {
        double now = timeline.now();
        conditions.onPaused(dispatcher);
        excusePending(dispatcher);
        records.forEach(
                record ->
                        record.dispatcher() == dispatcher
                                && now - record.clientAttempt.sentAt() < ACCEPTANCE_SECONDS,
                record -> record.pausedDuringAcceptance = true);
    }

    /** Records that a pause of a dispatcher has ended. */
    public void onDispatcherResumed(int dispatcher) {
        conditions.onResumed(dispatcher);
    }

    /** Sets the maximum delay of messages from a dispatcher to a worker, from now on. */
    public void setLinkDelay(int dispatcher, int worker, double delaySeconds) {
        conditions.setLinkDelay(dispatcher, worker, delaySeconds);
    }

    /** Records that a dispatcher has received a worker's state from discovery. */
    public void onNotified(int dispatcher, int worker, EndpointRegistry.State state) {
        conditions.onNotified(dispatcher, worker, state);
    }

    private void excusePending(int dispatcher) {
        records.forEach(
                record -> record.dispatcher() == dispatcher && record.response == null,
                record -> record.excused = true);
    }

    @Override
    public void onArrived(WorkerAttempt attempt, WorkerModel worker) {
        RequestRecord record = records.find(attempt.requestId);
        double now = timeline.now();
        if (record == null) {
            String description = "an attempt at " + worker.name + " long after the deadline";
            breaches.add(Rule.ONE_FINAL_ANSWER, description, null);
            return;
        }
        record.addEvent(now, "attempt at worker", worker.number);
        ObservedAttempt observed = new ObservedAttempt(record, worker, now);
        double linkDelay = conditions.linkDelay(record.dispatcher(), worker.number);
        attemptRules.checkArrival(observed, slackSeconds + linkDelay);
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
        record.addEvent(timeline.now(), "started at worker", worker.number);
        // Starts are counted over all attempts of the client, because a rejection promises that a
        // retry is safe.
        if (record.requestClass().idempotency() == Idempotency.NON_IDEMPOTENT) {
            int request = record.clientAttempt.request().number();
            if (records.addStart(request, worker.number)) {
                breaches.add(Rule.AT_MOST_ONE_EFFECT, "started twice", record);
            }
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

    /** Records that a dispatcher has closed the connection of an attempt. */
    public void onClosed(WorkerAttempt attempt) {
        ObservedAttempt observed = (ObservedAttempt) attempt.attachment();
        if (observed != null && !observed.ended) {
            observed.ended = true;
            observed.record.addEvent(
                    timeline.now(), "connection closed to worker", observed.worker.number);
        }
    }

    @Override
    public void onCollapsed(WorkerModel worker) {
        String description = worker.name + " collapsed under overload in slow start";
        breaches.add(Rule.NO_SLOW_START_OVERLOAD, description, null);
    }

    /** Checks at the end of the run that no request has missed its deadline without a response. */
    public void finish() {
        for (RequestRecord record : records.byAge()) {
            boolean isDue = timeline.now() > record.deadline() + slackSeconds;
            if (record.response == null && !record.abandoned && !record.excused && isDue) {
                breaches.add(Rule.ONE_FINAL_ANSWER, "no response at all", record);
            }
        }
    }

    /** Returns the first breaches in the order of their detection; later ones are only counted. */
    public List<Breach> breaches() {
        return breaches.breaches();
    }

    /** Returns the number of breaches of a rule. */
    public int count(Rule rule) {
        return breaches.count(rule);
    }

    /** Returns the number of breaches of all rules. */
    public int total() {
        return breaches.total();
    }

    /** Returns a client's attempt by its key; null if its record was removed. */
    public ClientAttempt clientAttempt(long key) {
        RequestRecord record = records.find(key);
        return record == null ? null : record.clientAttempt;
    }

    int recordCount() {
        return records.size();
    }
}
