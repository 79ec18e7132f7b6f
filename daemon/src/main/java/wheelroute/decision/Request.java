package wheelroute.decision;

import java.util.List;

/**
 * A client's request.
 *
 * @param deadline the time, in seconds, after which the client no longer waits
 * @param estimatedWork the client's estimate of the work, in seconds on a standard core; NaN
 *     without a valid estimate
 * @param slots the number of slots of a worker that the request needs; less than 1 counts as 1
 * @param clientRetry whether the client marked the request as a retry
 * @param key the routing key; null if the request has none
 * @param earlierAttempts the attempts that may have run of earlier requests which this one repeats;
 *     empty for an idempotent request, which may run any number of times
 */
public record Request(
        Ids.Request id,
        Ids.RequestClass requestClass,
        Ids.Tenant tenant,
        double deadline,
        double estimatedWork,
        double slots,
        double memory,
        boolean clientRetry,
        Ids.Key key,
        List<EarlierAttempt> earlierAttempts) {}
