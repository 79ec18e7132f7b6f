package wheelroute.decision.admission;

/**
 * The limits on one request's wait that hold besides its own latency objective.
 *
 * @param maxWaitSeconds the maximum wait of the class that can wait least, at this request's
 *     priority weight
 * @param fairnessFactor for the tenant: below 1 where it exceeds its quota
 */
public record WaitLimits(double maxWaitSeconds, double fairnessFactor) {}
