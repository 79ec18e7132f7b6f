package wheelroute.decision;

import java.util.List;
import java.util.Map;

/**
 * What an instance is told at its start. Times in seconds; prices in parts of the whole service.
 *
 * @param position this dispatcher's place among all, from 0, or -1 where it is not told
 * @param cacheMissPrice for each fetch of what a key needs, as crossZonePrice for each launch to
 *     another zone
 * @param removalIsAdvisory only a worker listed as draining must not be sent to; one that is gone
 *     may be
 * @param keyQuietPeriod how long a key rests after a launch that may still be running
 */
public record Settings(
        long seed,
        Ids.Zone zone,
        int dispatchers,
        int position,
        double timeResolution,
        List<RequestClass> requestClasses,
        Map<Ids.Tenant, Double> quotas,
        double overQuotaValue,
        boolean watchesEndpoints,
        boolean reportsStart,
        double progressInterval,
        boolean reportsFreeSlots,
        boolean mayCancel,
        boolean mayHedge,
        boolean sendsRetryAfter,
        double maxRetryAfter,
        int maxAttempts,
        double slowStartShare,
        double slowStartDuration,
        double overloadMultiple,
        double overloadWindow,
        double crossZonePrice,
        double cacheMissPrice,
        boolean removalIsAdvisory,
        double keyQuietPeriod) {

    /**
     * How long a launch that has begun goes on without a word of it; for ever where none is told.
     */
    public double startNoticeDelay() {
        return reportsStart
                ? 0
                : progressInterval > 0 ? progressInterval : Double.POSITIVE_INFINITY;
    }

    /** The seed is new with every file, and changes nothing that an operator set. */
    public Settings withSeed(long other) {
        return new Settings(
                other,
                zone,
                dispatchers,
                position,
                timeResolution,
                requestClasses,
                quotas,
                overQuotaValue,
                watchesEndpoints,
                reportsStart,
                progressInterval,
                reportsFreeSlots,
                mayCancel,
                mayHedge,
                sendsRetryAfter,
                maxRetryAfter,
                maxAttempts,
                slowStartShare,
                slowStartDuration,
                overloadMultiple,
                overloadWindow,
                crossZonePrice,
                cacheMissPrice,
                removalIsAdvisory,
                keyQuietPeriod);
    }

    /**
     * A row of the table of offerings.
     *
     * @param latencyObjective answers within this earn full value
     * @param objectivePerWork the quoted time grows by this many times the submission's own work
     * @param lateValue the part of the value that an answer after the quoted time still earns
     * @param idempotencyWindow how long repeats are known, from the first send that may have run
     * @param model the one model that runs it, or null for any
     * @param ordered one at a time for each key, in the order of their taking
     */
    public record RequestClass(
            Ids.RequestClass id,
            Idempotency idempotency,
            IdempotencyScope idempotencyScope,
            double latencyObjective,
            double objectivePerWork,
            double priorityWeight,
            double lateValue,
            double idempotencyWindow,
            Ids.Model model,
            boolean ordered) {
        double latencyObjectiveFor(double work) {
            return latencyObjective + objectivePerWork * work;
        }

        /** Also once it may have run: a repeat anywhere does no harm. */
        boolean isSafeToRetryAnywhere() {
            return idempotency == Idempotency.IDEMPOTENT
                    || (idempotency == Idempotency.IDEMPOTENT_BY_KEY
                            && idempotencyScope == IdempotencyScope.ALL);
        }
    }
}
