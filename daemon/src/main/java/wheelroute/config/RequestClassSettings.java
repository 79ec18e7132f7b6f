package wheelroute.config;

import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;

/**
 * The settings of one request class, to be written by {@link WireSettingsWriter}. Times in seconds.
 *
 * @param name of the class
 * @param idempotency what a repeated request does
 * @param scope where repeats of a request are recognized, if it is idempotent by key
 * @param latencyObjectiveSeconds a response within this earns its full value
 * @param objectivePerWork the objective grows by this for each unit of a request's work
 * @param deadline clients wait no longer
 * @param priorityWeight the value of a response
 * @param lateValue the fraction of the value that a response after the objective still earns
 * @param idempotencyWindowSeconds how long repeats are recognized
 * @param ordered whether requests with the same key run one at a time, in order of arrival
 */
public record RequestClassSettings(
        String name,
        Idempotency idempotency,
        IdempotencyScope scope,
        double latencyObjectiveSeconds,
        double objectivePerWork,
        double deadline,
        double priorityWeight,
        double lateValue,
        double idempotencyWindowSeconds,
        boolean ordered) {}
