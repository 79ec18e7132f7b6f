package wheelroute.decision;

import java.util.List;
import java.util.Map;

/**
 * The settings of a policy, which never change. A price is a fraction of the value of a mean
 * request.
 *
 * @param seed the seed of the random numbers
 * @param zone the zone of this dispatcher
 * @param dispatchers the number of dispatchers, including this one; 0 and 1 both mean one
 * @param position this dispatcher's index among all dispatchers, from 0; -1 if unknown
 * @param timeResolutionSeconds the shortest run that can be measured
 * @param quotas the requests per second of each tenant that has a quota, over all dispatchers
 * @param overQuotaValue the fraction of its value that a request beyond its tenant's quota keeps
 * @param watchesEndpoints whether the policy asks for the endpoint list to be watched; changes of
 *     the list are sent only to a dispatcher that watches it
 * @param reportsStart whether workers report when they begin a job
 * @param progressIntervalSeconds the interval at which workers report the progress of a job; 0 if
 *     they do not report it
 * @param reportsFreeSlots whether load reports hold the number of free slots
 * @param mayCancel whether attempts in flight may be cancelled
 * @param mayHedge whether a request may have two attempts in flight
 * @param sendsRetryAfter whether rejected clients get advice when to retry
 * @param maxRetryAfterSeconds the longest delay that a rejected client is advised to wait
 * @param maxAttempts the maximum number of attempts of a request
 * @param slowStartShare the fraction of its capacity that a worker has at its start
 * @param slowStartDurationSeconds the time that a worker takes to warm up
 * @param overloadMultiple the multiple of its capacity above which a worker in slow start collapses
 *     if it gets more than that within the window
 * @param overloadWindowSeconds the length of that window
 * @param crossZonePrice the price of each attempt in another zone
 * @param cacheMissPrice the price of each attempt at a worker without the cached data of its key
 * @param removalIsAdvisory whether a worker that was removed from the list may still be sent to; a
 *     worker listed as draining never may
 * @param keyQuietPeriodSeconds the time for which no other request of a key begins after an attempt
 *     that may still be running
 * @param drainGraceSeconds the time for which attempts may continue at a worker that is known to be
 *     draining or removed; 0 or more
 */
public record Settings(
        long seed,
        Ids.Zone zone,
        int dispatchers,
        int position,
        double timeResolutionSeconds,
        List<RequestClass> requestClasses,
        Map<Ids.Tenant, Double> quotas,
        double overQuotaValue,
        boolean watchesEndpoints,
        boolean reportsStart,
        double progressIntervalSeconds,
        boolean reportsFreeSlots,
        boolean mayCancel,
        boolean mayHedge,
        boolean sendsRetryAfter,
        double maxRetryAfterSeconds,
        int maxAttempts,
        double slowStartShare,
        double slowStartDurationSeconds,
        double overloadMultiple,
        double overloadWindowSeconds,
        double crossZonePrice,
        double cacheMissPrice,
        boolean removalIsAdvisory,
        double keyQuietPeriodSeconds,
        double drainGraceSeconds) {

    /** Returns whether the tenant has a quota. */
    public boolean hasQuota(Ids.Tenant tenant) {
        return quotas.getOrDefault(tenant, 0.0) > 0;
    }

    /**
     * Returns the time from the start of an attempt until the first report on it; infinite if
     * workers report neither starts nor progress.
     */
    public double startNoticeDelaySeconds() {
        return reportsStart
                ? 0
                : progressIntervalSeconds > 0 ? progressIntervalSeconds : Double.POSITIVE_INFINITY;
    }

    /**
     * Returns a copy of these settings with another seed. Every configuration file has a new seed,
     * and a different seed alone does not count as a change on a reload.
     */
    public Settings withSeed(long newSeed) {
        return new Settings(
                newSeed,
                zone,
                dispatchers,
                position,
                timeResolutionSeconds,
                requestClasses,
                quotas,
                overQuotaValue,
                watchesEndpoints,
                reportsStart,
                progressIntervalSeconds,
                reportsFreeSlots,
                mayCancel,
                mayHedge,
                sendsRetryAfter,
                maxRetryAfterSeconds,
                maxAttempts,
                slowStartShare,
                slowStartDurationSeconds,
                overloadMultiple,
                overloadWindowSeconds,
                crossZonePrice,
                cacheMissPrice,
                removalIsAdvisory,
                keyQuietPeriodSeconds,
                drainGraceSeconds);
    }

    /**
     * The settings of a request class.
     *
     * @param idempotencyScope the workers that recognize a key, for requests that are idempotent by
     *     key
     * @param latencyObjectiveSeconds the time within which an answer has its full value
     * @param objectivePerWork the factor of the request's own work, whose product is added to the
     *     objective
     * @param priorityWeight the value of a request relative to other classes; 0 and less count as 1
     * @param lateValue the fraction of its value that an answer after the objective still has
     * @param idempotencyWindowSeconds the time for which a key is recognized, from the first send
     *     of an attempt that may have run
     * @param model the only model of workers that runs requests of the class; null for any
     * @param ordered whether requests of one key run one at a time, in the order of their
     *     acceptance
     */
    public record RequestClass(
            Ids.RequestClass id,
            Idempotency idempotency,
            IdempotencyScope idempotencyScope,
            double latencyObjectiveSeconds,
            double objectivePerWork,
            double priorityWeight,
            double lateValue,
            double idempotencyWindowSeconds,
            Ids.Model model,
            boolean ordered) {
        /** Returns the latency objective of a request with the given work. */
        public double latencyObjectiveSecondsFor(double work) {
            return latencyObjectiveSeconds + objectivePerWork * work;
        }

        /**
         * Returns whether a repeat is safe on any worker, even after an attempt that may have run.
         */
        public boolean isSafeToRetryAnywhere() {
            return idempotency == Idempotency.IDEMPOTENT
                    || (idempotency == Idempotency.IDEMPOTENT_BY_KEY
                            && idempotencyScope == IdempotencyScope.ALL);
        }
    }
}
