package wheelroute.decision;

import java.util.List;
import java.util.Map;

/**
 * The settings of a policy, which never change. Prices are in parts of the value of a mean request.
 *
 * @param seed the seed of the random numbers
 * @param zone the zone of this dispatcher
 * @param dispatchers the number of dispatchers, this one included; 0 and 1 both mean one
 * @param position this dispatcher's index among all, from 0, or -1 where it is unknown
 * @param timeResolutionSeconds the shortest run that can be measured
 * @param quotas requests per second of each tenant that has a quota, over all dispatchers
 * @param overQuotaValue the part of its value that a request beyond its tenant's quota keeps
 * @param watchesEndpoints changes of the endpoint list are sent only to a dispatcher that watches
 *     it
 * @param reportsStart workers report when they begin a job
 * @param progressIntervalSeconds how often workers report a job's progress; 0 where they do not
 * @param reportsFreeSlots load reports hold the number of free slots
 * @param mayCancel attempts in flight may be cancelled
 * @param mayHedge a request may have two attempts in flight
 * @param sendsRetryAfter rejected clients get advice when to retry
 * @param maxRetryAfterSeconds the longest such advice
 * @param maxAttempts attempts that a request may have in all
 * @param slowStartShare the part of its capacity that a worker has at its start
 * @param slowStartDurationSeconds how long a worker warms up
 * @param overloadMultiple a worker in slow start collapses if it gets more than this multiple of
 *     its capacity within the window
 * @param overloadWindowSeconds the length of that window
 * @param crossZonePrice for each attempt in another zone
 * @param cacheMissPrice for each attempt at a worker without the data of its key
 * @param removalIsAdvisory only a worker listed as draining must not be sent to; one that was
 *     removed from the list may be
 * @param keyQuietPeriodSeconds how long no other request of a key begins after an attempt that may
 *     still be running
 * @param drainGraceSeconds how long attempts may continue at a worker that is known to be draining
 *     or removed; 0 or more
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

    /** Whether the tenant has a quota. */
    public boolean hasQuota(Ids.Tenant tenant) {
        return quotas.getOrDefault(tenant, 0.0) > 0;
    }

    /**
     * Returns how long after its start an attempt is first reported on; infinite where workers
     * report neither starts nor progress.
     */
    public double startNoticeDelaySeconds() {
        return reportsStart
                ? 0
                : progressIntervalSeconds > 0 ? progressIntervalSeconds : Double.POSITIVE_INFINITY;
    }

    /**
     * Returns these settings with another seed. Every configuration file has a new seed, which does
     * not count as a change on a reload.
     */
    public Settings withSeed(long other) {
        return new Settings(
                other,
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
     * A request class.
     *
     * @param idempotencyScope which workers recognize a key, for requests idempotent by key
     * @param latencyObjectiveSeconds answers within this have their full value
     * @param objectivePerWork added to the objective, times the request's own work
     * @param priorityWeight its value relative to other classes; 0 and less count as 1
     * @param lateValue the part of the value that an answer after the objective still has
     * @param idempotencyWindowSeconds how long a key is recognized, from the first send of an
     *     attempt that may have run
     * @param model the only model of workers that runs it, or null for any
     * @param ordered requests of one key run one at a time, in the order of their acceptance
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
        /** Returns the latency objective of a request of so much work. */
        public double latencyObjectiveSecondsFor(double work) {
            return latencyObjectiveSeconds + objectivePerWork * work;
        }

        /** Whether a repeat does no harm on any worker, even after an attempt that may have run. */
        public boolean isSafeToRetryAnywhere() {
            return idempotency == Idempotency.IDEMPOTENT
                    || (idempotency == Idempotency.IDEMPOTENT_BY_KEY
                            && idempotencyScope == IdempotencyScope.ALL);
        }
    }
}
