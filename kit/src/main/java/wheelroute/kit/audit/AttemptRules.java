package wheelroute.kit.audit;

import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;
import wheelroute.kit.model.Timeline;
import wheelroute.kit.model.WorkerModel;
import wheelroute.kit.scenario.Scenario;

/** Checks an attempt that arrives at a worker against the rules. */
final class AttemptRules {
    /** A dispatcher notices within this that a client has cancelled a request that waits. */
    private static final double CANCELLATION_DELAY = 0.3;

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
     * @param slack seconds that the attempt may be late by
     */
    void checkArrival(ObservedAttempt attempt, double slack) {
        checkTime(attempt, slack);
        checkEndpoint(attempt, slack);
        for (ObservedAttempt earlier : attempt.record.attempts) {
            checkRetry(earlier, attempt, slack);
        }
    }

    private void checkTime(ObservedAttempt attempt, double slack) {
        RequestRecord record = attempt.record;
        double now = attempt.arrivedAt;
        if (now > record.respondedAt + slack) {
            breaches.add(Rule.ONE_FINAL_ANSWER, "a launch after the final answer", record);
        }
        boolean timed = !record.startUnknown && !record.pausedMidTurn;
        if (timed && now > record.deadline() + slack) {
            breaches.add(Rule.ONE_FINAL_ANSWER, "a launch after the outer limit", record);
        }
        if (timed && now > record.cancelledAt + CANCELLATION_DELAY + slack) {
            String late = RequestRecord.seconds(now - record.cancelledAt);
            breaches.add(
                    Rule.ONE_FINAL_ANSWER, "a launch " + late + " s after its client left", record);
        }
    }

    private void checkEndpoint(ObservedAttempt attempt, double slack) {
        RequestRecord record = attempt.record;
        WorkerModel worker = attempt.worker;
        double now = attempt.arrivedAt;
        Double drainingSince = conditions.drainingSince(record.dispatcher(), worker.number);
        if (drainingSince != null
                && now > drainingSince + scenario.terms().drainGraceSeconds() + slack) {
            String late = RequestRecord.seconds(now - drainingSince);
            breaches.add(
                    Rule.NO_ATTEMPT_WHEN_DRAINING,
                    "a launch " + late + " s after " + worker.name + " was told draining or gone",
                    record);
        }
    }

    private void checkRetry(ObservedAttempt earlier, ObservedAttempt attempt, double slack) {
        RequestRecord record = attempt.record;
        Scenario.RequestClass requestClass = record.requestClass();
        if (!scenario.terms().mayHedge() && !earlier.ended) {
            // The end of the earlier connection may be noticed a moment after the new attempt.
            timeline.schedule(slack, () -> checkNotHedged(earlier));
        }
        if (earlier.neverRan || requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return;
        }
        if (requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
            breaches.add(Rule.AT_MOST_ONE_EFFECT, "launched again, though it may have run", record);
        } else if (!isSameScope(requestClass.idempotencyScope(), earlier.worker, attempt.worker)) {
            breaches.add(Rule.AT_MOST_ONE_EFFECT, "a repeat outside its group", record);
        } else if (attempt.arrivedAt
                > earlier.arrivedAt + requestClass.idempotencyWindowSeconds() + slack) {
            breaches.add(Rule.AT_MOST_ONE_EFFECT, "a repeat after its window", record);
        }
    }

    private void checkNotHedged(ObservedAttempt earlier) {
        if (!earlier.ended) {
            breaches.add(
                    Rule.AT_MOST_ONE_EFFECT,
                    "a second copy while the first is out",
                    earlier.record);
        }
    }

    /** A worker group of the scenario is a cell. */
    private static boolean isSameScope(IdempotencyScope scope, WorkerModel one, WorkerModel other) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> one.group.zone().equals(other.group.zone());
            case CELL -> one.group.name().equals(other.group.name());
        };
    }

    /** Whether a rejection, which promises that a retry is safe, is true. */
    static boolean mayReject(RequestRecord record) {
        Scenario.RequestClass requestClass = record.requestClass();
        boolean isSafeAnywhere =
                requestClass.idempotency() == Idempotency.IDEMPOTENT
                        || (requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                                && requestClass.idempotencyScope() == IdempotencyScope.ALL);
        return isSafeAnywhere || record.attempts.stream().allMatch(attempt -> attempt.neverRan);
    }
}
