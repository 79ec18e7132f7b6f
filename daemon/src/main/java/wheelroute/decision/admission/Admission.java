package wheelroute.decision.admission;

import java.util.Collection;
import wheelroute.decision.Ids;
import wheelroute.decision.Settings;
import wheelroute.decision.estimates.CacheMissCost;
import wheelroute.decision.estimates.Candidate;
import wheelroute.decision.estimates.TrafficStatistics;
import wheelroute.decision.state.DecisionClock;
import wheelroute.decision.state.RequestClassState;
import wheelroute.decision.state.TrackedRequest;

/**
 * Decides whether a request may wait for a worker or is rejected. The maximum wait follows from the
 * latency objective of the request, from that of the class that can wait least, and from how far
 * the tenant exceeds its quota.
 */
public record Admission(
        DecisionClock clock,
        Settings settings,
        Collection<RequestClassState> requestClasses,
        TrafficStatistics traffic,
        CacheMissCost cacheMissCost) {
    /**
     * The minimum fraction of its latency objective that a request may wait, regardless of its
     * expected run. The expected run is a rough estimate, and a rejection saves only the wait.
     */
    private static final double MIN_WAIT_FRACTION = 0.5;

    /** Returns the limits on the wait of this request that are the same at every worker. */
    public WaitLimits waitLimitsFor(TrackedRequest request) {
        // The class that can wait least sets the limit, because classes with long objectives must
        // not fill the queues in which the others would then starve.
        var maxWaits = requestClasses.stream().mapToDouble(Admission::maxWaitPerRootWeight);
        double least = maxWaits.min().orElse(0);
        return new WaitLimits(
                least * Math.sqrt(request.priorityWeight()),
                fairnessFactor(request.request().tenant()));
    }

    /**
     * Returns whether the request may wait for this worker.
     *
     * @param fraction the fraction of the maximum wait that is allowed
     */
    public AdmissionDecision decide(
            TrackedRequest request, Candidate candidate, double fraction, WaitLimits limits) {
        double now = clock.now();
        double wait =
                candidate.ownWaitSeconds()
                        + candidate.worker().estimates().recentExternalWait(now)
                        + cacheMissCost.expectedSeconds(candidate.affinityRank());
        double run = request.work() / candidate.speed();
        double maxWait = maxWaitSeconds(request.requestClass(), request.work(), run);
        double commonMaxWait = Math.min(maxWait, limits.maxWaitSeconds());
        if (wait > fraction * commonMaxWait * limits.fairnessFactor()) {
            return AdmissionDecision.WAIT_TOO_LONG;
        }
        // Time in the queue of a key fills no worker's queue, so only the request's own objective
        // limits that time.
        if (request.queue() != null && now - request.acceptedAt() + wait > maxWait) {
            return AdmissionDecision.QUEUED_TOO_LONG;
        }
        return AdmissionDecision.ADMITTED;
    }

    /**
     * Returns the maximum total wait in seconds of a request with the given work and expected run.
     */
    public static double maxWaitSeconds(
            RequestClassState requestClass, double work, double runSeconds) {
        double objective = requestClass.settings().latencyObjectiveSecondsFor(work);
        return Math.max(objective - runSeconds, MIN_WAIT_FRACTION * objective);
    }

    private static double maxWaitPerRootWeight(RequestClassState requestClass) {
        double work = requestClass.estimates().meanWork();
        return maxWaitSeconds(requestClass, work, work) / Math.sqrt(requestClass.priorityWeight());
    }

    /**
     * Returns the factor by which a tenant's maximum wait is multiplied. The factor is below 1 for
     * a tenant beyond its quota, so that it does not crowd out the others. It is then the lowest
     * quota use of any tenant divided by that tenant's use, but not below the square root of {@link
     * Settings#overQuotaValue}.
     */
    private double fairnessFactor(Ids.Tenant tenant) {
        double use = traffic.tenants().contains(tenant) ? quotaUse(tenant) : 0;
        double least = traffic.tenants().stream().mapToDouble(this::quotaUse).min().orElse(use);
        return use > 1 ? Math.max(Math.sqrt(settings.overQuotaValue()), least / use) : 1;
    }

    /**
     * Returns the multiple of its quota that a tenant uses, assuming that every dispatcher gets as
     * much of the tenant's traffic as this one.
     */
    private double quotaUse(Ids.Tenant tenant) {
        return settings.dispatchers()
                * traffic.rate(tenant, clock.now())
                / settings.quotas().get(tenant);
    }
}
