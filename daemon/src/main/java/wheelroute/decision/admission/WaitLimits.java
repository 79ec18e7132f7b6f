package wheelroute.decision.admission;

/**
 * The limits on the wait of one request that apply in addition to its own latency objective.
 *
 * @param maxWaitSeconds the maximum wait of the class that can wait least, scaled to the priority
 *     weight of this request
 * @param fairnessFactor the factor of the maximum wait for the tenant; below 1 if it exceeds its
 *     quota
 */
public record WaitLimits(double maxWaitSeconds, double fairnessFactor) {}
