package wheelroute.decision;

import java.util.List;
import wheelroute.decision.admission.Admission;
import wheelroute.decision.endpoints.EndpointUpdates;
import wheelroute.decision.estimates.AttemptMeasurements;
import wheelroute.decision.health.OutlierEjection;
import wheelroute.decision.health.SilenceDetector;
import wheelroute.decision.health.SweepTimer;
import wheelroute.decision.order.KeyQueues;
import wheelroute.decision.retry.RetryRules;
import wheelroute.decision.routing.AdmittanceCost;
import wheelroute.decision.routing.RequestPlacer;
import wheelroute.decision.routing.WorkerSelector;
import wheelroute.decision.slowstart.SlowStart;
import wheelroute.decision.state.DispatcherState;
import wheelroute.decision.state.LearnedStateTransfer;
import wheelroute.decision.state.RequestClassState;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;

/**
 * All decisions of one dispatcher: which worker gets each request, whether it is tried again, and
 * what is rejected. This class takes the events in; each concern is decided in a class of its own:
 *
 * <ul>
 *   <li>{@link WorkerSelector} chooses among candidates by {@link AdmittanceCost};
 *   <li>{@link Admission} rejects what would wait too long, and keeps tenants and classes fair;
 *   <li>{@link RetryRules} allows or forbids a further attempt;
 *   <li>{@link OutlierEjection} and {@link SlowStart} keep requests from workers that fail or warm
 *       up;
 *   <li>{@link SilenceDetector} retries and hedges what a silent or removed worker holds;
 *   <li>{@link KeyQueues} keeps the order of requests of one key.
 * </ul>
 *
 * <p>{@link #advanceTo} gives the time before each event. It acts through {@link ActionHandler}
 * only. One thread, no clock, no I/O: the same events give the same actions.
 *
 * <p>The mechanism is the first policy iteration rule of Hyytiä and Aalto, "To Split or not to
 * Split", section 4.1; docs/design.md tells what was kept of it, what was changed, and when each
 * exception acts.
 */
public final class Policy {
    private final DispatcherState state;
    private final SilenceDetector silence;
    private final EndpointUpdates endpoints;
    private final RequestPlacer placer;
    private final AttemptMeasurements measurements;
    private final OutlierEjection ejection;
    private final LearnedStateTransfer transfer;
    private final KeyQueues keyQueues;
    private final SweepTimer sweeps;

    /**
     * Asks for the endpoint list's changes at once where the settings say that they must be asked
     * for.
     */
    public Policy(Settings settings, ActionHandler actions) {
        state = new DispatcherState(settings, actions);
        sweeps = new SweepTimer(state);
        RetryRules retryRules = new RetryRules(state);
        ejection = new OutlierEjection(state, retryRules);
        WorkerSelector selector = new WorkerSelector(state, retryRules, ejection);
        placer = new RequestPlacer(state, selector, retryRules, sweeps);
        keyQueues = placer.keyQueues();
        silence = new SilenceDetector(state, placer, selector, ejection);
        endpoints = new EndpointUpdates(state, ejection);
        measurements = new AttemptMeasurements(state);
        transfer = new LearnedStateTransfer(state, ejection);
        if (settings.watchesEndpoints()) {
            actions.watchEndpoints();
        }
    }

    /** The time, in seconds, of the events that follow. */
    public void advanceTo(double time) {
        state.setNow(time);
    }

    /** The delay of a {@link ActionHandler#scheduleWakeup} is over. */
    public void onWakeup() {
        keyQueues.advanceAll();
        if (sweeps.begin()) {
            silence.sweep();
            sweeps.schedule();
        }
    }

    /**
     * The endpoint list or a change of it.
     *
     * @param complete whoever is not among the endpoints has left the list
     */
    public void onEndpoints(List<Endpoint> changed, boolean complete) {
        for (WorkerState worker : endpoints.apply(changed, complete)) {
            silence.retryElsewhere(worker, !worker.isUnlisted(), attempt -> true);
        }
        state.workers().forgetRemoved();
    }

    /** Discovery has answered: the list is what it has now, changed or not. */
    public void onEndpointsConfirmed() {
        state.endpointLease().renew(state.now());
    }

    /** Discovery is up and overloaded, and has not answered this dispatcher since it was. */
    public void onDiscoveryOverloaded() {
        state.endpointLease().onOverload();
    }

    /** Whether the list is unconfirmed for so long that no worker may be sent to. */
    public boolean isEndpointLeaseExpired() {
        return state.endpointLease().isExpired(state.now());
    }

    /** What this dispatcher may use of what all share, from here on; an even division before. */
    public void setShares(DispatcherShares shares) {
        state.setShares(shares);
    }

    /**
     * How many processes are this one dispatcher, while one replaces another: each has its part of
     * the traffic and of what is shared.
     */
    public void setProcessCount(int count) {
        state.setProcessCount(count);
    }

    /** What was learned so far, for a process that is to go on where this one is. */
    public LearnedState exportState() {
        return transfer.exportState();
    }

    /**
     * Takes over what another process had learned: before any request is accepted, and after the
     * endpoint list. Workers, models and classes that are unknown here are skipped.
     */
    public void importState(LearnedState learned) {
        transfer.importState(learned);
    }

    /** Listed workers that get no ordinary requests now: draining, backing off, or ejected. */
    public int avoidedEndpoints() {
        return (int) state.workers().all().stream().filter(this::isAvoided).count();
    }

    private boolean isAvoided(WorkerState worker) {
        return worker.isListed()
                && (!worker.isReady()
                        || worker.health().isEjected()
                        || worker.health().isBackingOff(state.now()));
    }

    /**
     * Accepts a request: from here on it gets exactly one final answer.
     *
     * @return null when the settings have no such request class
     */
    public RequestHandle accept(Request request) {
        RequestClassState requestClass = state.requestClasses().get(request.requestClass());
        if (requestClass == null) {
            return null;
        }
        boolean queued = requestClass.settings().ordered() && request.key() != null;
        TrackedRequest tracked =
                new TrackedRequest(
                        request,
                        requestClass,
                        state.now(),
                        request.key() == null ? null : state.affinity().forKey(request.key()),
                        queued ? keyQueues.forKey(request.key()) : null);
        state.traffic().noteFirst(state.now());
        if (!request.clientRetry()) {
            // A client's retry is no further load and no further use of a quota; counted, a
            // rejection
            // would raise the rate that leads to rejections.
            state.traffic().record(state.now(), tracked, hasQuota(request.tenant()));
        }
        silence.earnHedge();
        if (tracked.queue() != null) {
            keyQueues.add(tracked);
            sweeps.schedule();
        } else {
            placer.place(tracked);
        }
        return new RequestEvents(state, tracked, placer, measurements, ejection);
    }

    private boolean hasQuota(Ids.Tenant tenant) {
        return state.settings().quotas().getOrDefault(tenant, 0.0) > 0;
    }
}
