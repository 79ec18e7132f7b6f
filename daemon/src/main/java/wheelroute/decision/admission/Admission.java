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
 * How long a request may wait for a worker before it is rejected: by its own latency objective, by
 * that of the class that can wait least, and by how far its tenant exceeds its quota.
 */
public record Admission(
        DecisionClock clock,
        Settings settings,
        Collection<RequestClassState> requestClasses,
        TrafficStatistics traffic,
        CacheMissCost cacheMissCost) {
    /**
     * However long its expected run, a request may wait this part of its latency objective: the run
     * is a rough estimate, and a rejection saves only the wait.
     */
    private static final double MIN_WAIT_FRACTION = 0.5;

    /** Returns the limits on this request's wait that hold at every worker. */
    public WaitLimits waitLimitsFor(TrackedRequest request) {
        // Classes with long objectives must not fill the queues in which the others then starve.
        var maxWaits = requestClasses.stream().mapToDouble(Admission::maxWaitPerRootWeight);
        double least = maxWaits.min().orElse(0);
        return new WaitLimits(
                least * Math.sqrt(request.value()), fairnessFactor(request.request().tenant()));
    }

    /**
     * Returns whether the request may wait for this worker.
     *
     * @param fraction the part of the maximum wait that is allowed here
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
        double shared = Math.min(maxWait, limits.maxWaitSeconds());
        if (wait > fraction * shared * limits.fairnessFactor()) {
            return AdmissionDecision.WAIT_TOO_LONG;
        }
        // Time in the queue of a key fills no worker's queue, so only its own objective limits it.
        if (request.queue() != null && now - request.acceptedAt() + wait > maxWait) {
            return AdmissionDecision.QUEUED_TOO_LONG;
        }
        return AdmissionDecision.ADMITTED;
    }

    /** Returns how long a request of so much work, which runs for so long, may wait in all. */
    public static double maxWaitSeconds(
            RequestClassState requestClass, double work, double runSeconds) {
        double objective = requestClass.settings().latencyObjectiveSecondsFor(work);
        return Math.max(objective - runSeconds, MIN_WAIT_FRACTION * objective);
    }

    private static double maxWaitPerRootWeight(RequestClassState requestClass) {
        double work = requestClass.estimates().meanWork();
        return maxWaitSeconds(requestClass, work, work) / Math.sqrt(requestClass.value());
    }

    /**
     * Returns the factor of the maximum wait of a tenant. It is below 1 beyond the quota, so that
     * the others are not crowded out: the least use of a quota by any tenant divided by its own.
     */
    private double fairnessFactor(Ids.Tenant tenant) {
        double use = traffic.tenants().contains(tenant) ? quotaUse(tenant) : 0;
        double least = traffic.tenants().stream().mapToDouble(this::quotaUse).min().orElse(use);
        return use > 1 ? Math.max(Math.sqrt(settings.overQuotaValue()), least / use) : 1;
    }

    /**
     * Returns the multiple of its quota that a tenant uses, if all dispatchers get as much of it.
     */
    private double quotaUse(Ids.Tenant tenant) {
        return settings.dispatchers()
                * traffic.rate(tenant, clock.now())
                / settings.quotas().get(tenant);
    }
}
