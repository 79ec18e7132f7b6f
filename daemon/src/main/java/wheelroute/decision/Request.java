package wheelroute.decision;

/**
 * What a client asks for.
 *
 * @param deadline the moment, in seconds, at which the client gives up
 * @param estimatedWork work on a standard core, in seconds; NaN without a valid estimate
 * @param slots of a worker that it takes; below 1 counts as 1
 * @param clientRetry the client says that it has asked before
 * @param key what it is about; null without one
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
