package wheelroute.decision;

import java.util.List;
import wheelroute.decision.state.DispatcherState;
import wheelroute.decision.state.RequestClassState;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;

/**
 * All decisions of one dispatcher. Each event is passed on to the class that decides; the package's
 * documentation lists them.
 *
 * <p>{@link #advanceTo} sets the time before each event, and the {@link ActionHandler} carries the
 * decisions out. Not thread-safe; without clock and I/O, so that the same events always lead to the
 * same actions.
 */
public final class Policy {
    private final Settings settings;
    private final DecisionComponents parts;
    private final DispatcherState state;

    /**
     * Creates the decisions of a dispatcher, and starts the endpoint watch if there is to be one.
     */
    public Policy(Settings settings, ActionHandler actions) {
        this.settings = settings;
        parts = DecisionComponents.create(settings, actions);
        state = parts.state();
        if (settings.watchesEndpoints()) {
            actions.watchEndpoints();
        }
    }

    /** Sets the time, in seconds, of the events that follow. */
    public void advanceTo(double time) {
        state.clock().advanceTo(time);
    }

    /** Handles the end of the delay of a {@link ActionHandler#scheduleWakeup}. */
    public void onWakeup() {
        parts.keyQueues().advanceAll();
        if (parts.sweeps().begin()) {
            parts.detector().sweep();
            scheduleSweep();
        }
    }

    private void scheduleSweep() {
        if (!state.workers().busy().isEmpty() || !state.keyQueues().isEmpty()) {
            parts.sweeps().schedule();
        }
    }

    /**
     * Handles the endpoint list or a change of it.
     *
     * @param complete workers that are not among the endpoints were removed
     */
    public void onEndpoints(List<Endpoint> changed, boolean complete) {
        for (WorkerState worker : parts.endpointUpdates().apply(changed, complete)) {
            if (worker.isRetainedAfterRemoval()) {
                // The list may be wrong about it, so that its attempts may still be running.
                parts.replacer().replaceWithinBudget(worker, attempt -> true);
            } else {
                parts.replacer().replaceLost(worker);
            }
        }
        state.workers().forgetRemoved();
    }

    /** Handles an answer of discovery, which confirms the endpoint list even if nothing changed. */
    public void onEndpointsConfirmed() {
        state.endpointLease().renew(state.clock().now());
    }

    /** Records that discovery is overloaded: it answers others, but not this dispatcher. */
    public void onDiscoveryOverloaded() {
        state.endpointLease().onOverload();
    }

    /** Whether the list is too old to send to any worker: only while discovery is overloaded. */
    public boolean isEndpointLeaseExpired() {
        return state.endpointLease().isExpired(state.clock().now());
    }

    /** Sets what this dispatcher may use of the shared limits; they are divided evenly before. */
    public void setShares(DispatcherShares shares) {
        state.dispatchers().setShares(shares);
    }

    /**
     * Sets how many processes act as this one dispatcher, while one replaces another: each is taken
     * to get an equal part of the traffic and of the shared limits.
     */
    public void setProcessCount(int count) {
        state.dispatchers().setProcessCount(count);
    }

    /** Returns what was learned so far, for a successor process. */
    public LearnedState exportState() {
        return parts.transfer().exportState();
    }

    /**
     * Takes over what a predecessor process has learned. To be called after the endpoint list is
     * known and before any request is accepted. Unknown workers, models and classes are skipped.
     */
    public void importState(LearnedState learned) {
        parts.transfer().importState(learned);
    }

    /** Returns the number of listed workers that are draining, backing off or ejected. */
    public int avoidedEndpoints() {
        return state.workers().avoidedCount(state.clock().now());
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
        TrackedRequest tracked = track(request, requestClass);
        state.traffic().recordFirstRequest(tracked.acceptedAt());
        if (!request.clientRetry()) {
            // A client's retry is not counted as load or use of a quota: counted, rejections would
            // raise the rates that lead to rejections.
            state.traffic().record(tracked, settings.hasQuota(request.tenant()));
        }
        parts.hedgingBudget().onRequestAccepted();
        if (tracked.queue() != null) {
            parts.keyQueues().add(tracked);
            scheduleSweep();
        } else {
            parts.placer().place(tracked);
        }
        return new RequestEvents(tracked, parts);
    }

    private TrackedRequest track(Request request, RequestClassState requestClass) {
        double now = state.clock().now();
        Ids.Key key = request.key();
        if (key == null) {
            return new TrackedRequest(request, requestClass, now, null, null);
        }
        var affinity = state.affinity().forKey(key);
        var queue = requestClass.settings().ordered() ? state.keyQueues().getOrCreate(key) : null;
        return new TrackedRequest(request, requestClass, now, affinity, queue);
    }
}
