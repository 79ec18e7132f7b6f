package wheelroute.decision;

/**
 * What a client asks for.
 *
 * @param outerLimit the moment, in seconds, at which the client gives up
 * @param hint work on a standard core, in seconds; NaN without a valid hint
 * @param repeated the client says it has asked before
 * @param key what it is about; null without one
 */
public record Submission(
        Ids.Submission id,
        Ids.Offering offering,
        Ids.Tenant tenant,
        double outerLimit,
        double hint,
        double slots,
        double memory,
        boolean repeated,
        Ids.Key key) {}
