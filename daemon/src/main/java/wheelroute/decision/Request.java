package wheelroute.decision;

/**
 * A client's request.
 *
 * @param deadline the time, in seconds, after which the client does not wait any more
 * @param estimatedWork the client's estimate, in seconds on a standard core; NaN without a valid
 *     one
 * @param slots of a worker that it needs; less than 1 counts as 1
 * @param clientRetry the client marks it as a retry
 * @param key the routing key; null without one
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
        Ids.Key key) {}
