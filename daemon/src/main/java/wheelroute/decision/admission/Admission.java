package wheelroute.decision.admission;

import wheelroute.decision.Ids;
import wheelroute.decision.Settings;
import wheelroute.decision.estimates.WorkerEstimates;
import wheelroute.decision.state.DispatcherState;
import wheelroute.decision.state.RequestClassState;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;

/**
 * How long a request may wait for a worker before it is rejected: by its latency objective, by what
 * the least patient class bears, and by how far its tenant is past its quota.
 */
public final class Admission {
    /**
     * A rejection needs evidence this fresh, in seconds: queues can empty faster than old waits
     * fade.
     */
    public static final double EVIDENCE_MEMORY = 1.5;

    /** A wait of this fraction of the latency objective is borne in any case. */
    private static final double ALWAYS_BORNE = 0.5;

    private final DispatcherState state;

    /**
     * What bounds the wait of one request besides its own objective.
     *
     * @param shared seconds that the least patient class would bear for this request's value
     * @param fairness factor for the tenant: below 1 where it is past its quota, above 1 beside
     *     such
     */
    public record Bounds(double shared, double fairness) {}

    /** Creates the rule over the state of one dispatcher. */
    public Admission(DispatcherState state) {
        this.state = state;
    }

    /** Returns what bounds the wait of this request, whichever worker it goes to. */
    public Bounds boundsFor(TrackedRequest request) {
        // What the least patient class bears, a unit of value: none may fill queues past it.
        double least =
                state.requestClasses().values().stream()
                        .mapToDouble(Admission::patience)
                        .min()
                        .orElse(0);
        return new Bounds(least * Math.sqrt(request.value()), fairness(request.request().tenant()));
    }

    /**
     * Whether the request would wait too long at this worker.
     *
     * @param fraction of what is borne that it may wait
     */
    public boolean isHopeless(
            TrackedRequest request, WorkerState worker, double fraction, Bounds bounds) {
        WorkerEstimates estimates = worker.estimates();
        double wait =
                estimates.ownWait()
                        + estimates.externalWait(
                                EVIDENCE_MEMORY, worker.model().recentExternalWait())
                        + state.cacheMissCost().expectedSeconds(worker.affinityRank());
        // Waiting is what a rejection spares: that a job looks too long is only a rough estimate's
        // word.
        double borne =
                borne(request.requestClass(), request.work(), request.work() / estimates.speed());
        if (wait > fraction * Math.min(borne, bounds.shared()) * bounds.fairness()) {
            return true;
        }
        // What it waited in its key's queue filled no worker's queue, but that time is gone as
        // well.
        return request.queue() != null && state.now() - request.acceptedAt() + wait > borne;
    }

    /** Seconds of waiting that a request of so much work, which runs so long, may bear. */
    public static double borne(RequestClassState requestClass, double work, double run) {
        double objective = requestClass.settings().latencyObjectiveSecondsFor(work);
        return Math.max(objective - run, ALWAYS_BORNE * objective);
    }

    /** Patient classes must not fill an overload's queues, where the others then starve. */
    private static double patience(RequestClassState requestClass) {
        double work = requestClass.estimates().meanWork();
        return borne(requestClass, work, work) / Math.sqrt(requestClass.value());
    }

    /** A tenant far past its quota must not crowd out others: it bears less, and they bear all. */
    private double fairness(Ids.Tenant tenant) {
        double use = state.traffic().tenants().contains(tenant) ? use(tenant) : 0;
        double least = state.traffic().tenants().stream().mapToDouble(this::use).min().orElse(use);
        return use > 1 ? Math.max(Math.sqrt(state.settings().overQuotaValue()), least / use) : 1;
    }

    /**
     * How many times its quota a tenant uses, if all dispatchers have its traffic as this one does.
     */
    private double use(Ids.Tenant tenant) {
        Settings settings = state.settings();
        return settings.dispatchers()
                * state.traffic().rate(tenant, state.now())
                / settings.quotas().get(tenant);
    }
}
