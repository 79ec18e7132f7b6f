package wheelroute.decision;

import java.util.List;
import java.util.Map;

/**
 * What a policy is told at its start. Times are in seconds, prices in parts of the whole service.
 *
 * @param seed from which chance is drawn
 * @param zone of this dispatcher
 * @param dispatchers how many there are, this one included; 0 and 1 both mean one
 * @param position this dispatcher's place among all, from 0, or -1 where it is not told
 * @param timeResolutionSeconds the shortest run that can be told from none
 * @param quotas requests a second of each tenant that has a quota, over all dispatchers
 * @param overQuotaValue the part of its value that a request past its tenant's quota keeps
 * @param watchesEndpoints the endpoint list's changes come only to who asks for them
 * @param reportsStart workers tell when they begin a job
 * @param progressIntervalSeconds how often workers tell of a job's progress; 0 where they do not
 * @param reportsFreeSlots load reports hold the number of free slots
 * @param mayHedge a request may have two attempts in flight
 * @param sendsRetryAfter clients are told when to retry
 * @param slowStartShare the part of its capacity that a worker has at its start
 * @param slowStartDurationSeconds how long a worker warms up
 * @param overloadMultiple so many times its capacity within the window collapse a cold worker
 * @param overloadWindowSeconds over which that is counted
 * @param crossZonePrice for each attempt in another zone
 * @param cacheMissPrice for each fetch of what a key needs
 * @param removalIsAdvisory only a worker listed as draining must not be sent to; one that has left
 *     the list may be
 * @param keyQuietPeriodSeconds how long no other request of a key begins after an attempt that may
 *     still be running
 * @param drainGraceSeconds how long attempts may go on to a worker that is known to drain or to be
 *     gone
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

    /** How long after its start an attempt is first heard of; infinite where nothing is told. */
    public double startNoticeDelaySeconds() {
        return reportsStart
                ? 0
                : progressIntervalSeconds > 0 ? progressIntervalSeconds : Double.POSITIVE_INFINITY;
    }

    /** The same with another seed: a new one comes with every file and is no change of settings. */
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
     * @param idempotencyScope which workers recognize a key; without meaning for the other kinds
     * @param latencyObjectiveSeconds answers within this earn their full value
     * @param objectivePerWork the objective grows by this many times the request's own work
     * @param priorityWeight its value against other classes; 0 and less count as 1
     * @param lateValue the part of the value that an answer past the objective still earns
     * @param idempotencyWindowSeconds how long a key is recognized, from the first send that may
     *     have run
     * @param model the one model that runs it, or null for any
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
        /** The objective of a request of so much work. */
        public double latencyObjectiveSecondsFor(double work) {
            return latencyObjectiveSeconds + objectivePerWork * work;
        }

        /** Whether a repeat does no harm on any worker, also once an attempt may have run. */
        public boolean isSafeToRetryAnywhere() {
            return idempotency == Idempotency.IDEMPOTENT
                    || (idempotency == Idempotency.IDEMPOTENT_BY_KEY
                            && idempotencyScope == IdempotencyScope.ALL);
        }
    }
}
