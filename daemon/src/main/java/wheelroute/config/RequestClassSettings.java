package wheelroute.config;

import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;

/**
 * The settings of one request class, in the form that {@link WireSettingsWriter} takes. Immutable.
 *
 * @param name name by which clients select the class
 * @param idempotency whether a request may safely be repeated
 * @param scope the workers that recognize a repeated request, if it is idempotent by key
 * @param latencyObjectiveSeconds time within which a response has its full value
 * @param objectivePerWork seconds added to the objective for each second of a request's work
 * @param deadlineSeconds maximum time from a request to its response
 * @param priorityWeight value of a response, relative to other classes
 * @param lateValue fraction of its value that a response after the objective still has
 * @param idempotencyWindowSeconds how long workers recognize a repeated request
 * @param ordered whether requests with the same key run one at a time, in order of arrival
 */
public record RequestClassSettings(
        String name,
        Idempotency idempotency,
        IdempotencyScope scope,
        double latencyObjectiveSeconds,
        double objectivePerWork,
        double deadlineSeconds,
        double priorityWeight,
        double lateValue,
        double idempotencyWindowSeconds,
        boolean ordered) {}
