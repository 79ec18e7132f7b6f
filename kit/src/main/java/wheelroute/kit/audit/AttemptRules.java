package wheelroute.kit.audit;

import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;
import wheelroute.kit.model.Timeline;
import wheelroute.kit.model.WorkerModel;
import wheelroute.kit.scenario.Scenario;

/** Checks attempts against the rules when they arrive at a worker. */
final class AttemptRules {
    /** The time within which a dispatcher must handle the cancellation of a waiting request. */
    private static final double CANCELLATION_DELAY_SECONDS = 0.3;

    private final Scenario scenario;
    private final Timeline timeline;
    private final DispatcherConditions conditions;
    private final BreachLog breaches;

    AttemptRules(
            Scenario scenario,
            Timeline timeline,
            DispatcherConditions conditions,
            BreachLog breaches) {
        this.scenario = scenario;
        this.timeline = timeline;
        this.conditions = conditions;
        this.breaches = breaches;
    }

    /**
     * Checks an attempt that has just arrived.
     *
     * @param slackSeconds how late the attempt may be without a breach
     */
    void checkArrival(ObservedAttempt attempt, double slackSeconds) {
        checkTime(attempt, slackSeconds);
        checkEndpoint(attempt, slackSeconds);
        for (ObservedAttempt earlier : attempt.record.attempts) {
            checkRetry(earlier, attempt, slackSeconds);
        }
    }

    private void checkTime(ObservedAttempt attempt, double slackSeconds) {
        RequestRecord record = attempt.record;
        double now = attempt.arrivedAt;
        if (now > record.respondedAt + slackSeconds) {
            breaches.add(Rule.ONE_FINAL_ANSWER, "an attempt after the final response", record);
        }
        boolean isDeadlineKnown = !record.sendTimeUnknown && !record.pausedDuringAcceptance;
        if (isDeadlineKnown && now > record.deadline() + slackSeconds) {
            breaches.add(Rule.ONE_FINAL_ANSWER, "an attempt after the deadline", record);
        }
        if (isDeadlineKnown
                && now > record.cancelledAt + CANCELLATION_DELAY_SECONDS + slackSeconds) {
            String late = RequestRecord.seconds(now - record.cancelledAt);
            breaches.add(
                    Rule.ONE_FINAL_ANSWER,
                    "an attempt " + late + " s after the cancellation",
                    record);
        }
    }

    private void checkEndpoint(ObservedAttempt attempt, double slackSeconds) {
        RequestRecord record = attempt.record;
        WorkerModel worker = attempt.worker;
        double now = attempt.arrivedAt;
        Double drainingSince = conditions.drainingSince(record.dispatcher(), worker.number);
        if (drainingSince != null
                && now > drainingSince + scenario.terms().drainGraceSeconds() + slackSeconds) {
            String late = RequestRecord.seconds(now - drainingSince);
            breaches.add(
                    Rule.NO_ATTEMPT_WHEN_DRAINING,
                    "an attempt "
                            + late
                            + " s after the dispatcher knew "
                            + worker.name
                            + " to be draining or removed",
                    record);
        }
    }

    private void checkRetry(ObservedAttempt earlier, ObservedAttempt attempt, double slackSeconds) {
        RequestRecord record = attempt.record;
        Scenario.RequestClass requestClass = record.requestClass();
        if (!scenario.terms().mayHedge() && !earlier.ended) {
            // The worker may notice the end of the earlier connection only after the new attempt.
            timeline.schedule(slackSeconds, () -> checkNotHedged(earlier));
        }
        if (earlier.neverRan || requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return;
        }
        if (requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
            breaches.add(Rule.AT_MOST_ONE_EFFECT, "retried, though it may have run", record);
        } else if (!isSameScope(requestClass.idempotencyScope(), earlier.worker, attempt.worker)) {
            breaches.add(Rule.AT_MOST_ONE_EFFECT, "retried outside the scope of its key", record);
        } else if (attempt.arrivedAt
                > earlier.arrivedAt + requestClass.idempotencyWindowSeconds() + slackSeconds) {
            breaches.add(Rule.AT_MOST_ONE_EFFECT, "retried after the window of its key", record);
        }
    }

    private void checkNotHedged(ObservedAttempt earlier) {
        if (!earlier.ended) {
            breaches.add(
                    Rule.AT_MOST_ONE_EFFECT,
                    "a hedged request, which is not allowed",
                    earlier.record);
        }
    }

    /** Returns whether two workers share the scope of a key; each worker group is a cell. */
    private static boolean isSameScope(IdempotencyScope scope, WorkerModel one, WorkerModel other) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> one.group.zone().equals(other.group.zone());
            case CELL -> one.group.name().equals(other.group.name());
        };
    }

    /**
     * Returns whether a request may be rejected, which promises the client that a retry is safe.
     */
    static boolean mayReject(RequestRecord record) {
        Scenario.RequestClass requestClass = record.requestClass();
        boolean isSafeAnywhere =
                requestClass.idempotency() == Idempotency.IDEMPOTENT
                        || (requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                                && requestClass.idempotencyScope() == IdempotencyScope.ALL);
        return isSafeAnywhere || record.attempts.stream().allMatch(attempt -> attempt.neverRan);
    }
}
