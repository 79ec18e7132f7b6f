package wheelroute.decision;

import java.util.List;
import wheelroute.decision.state.DispatcherState;
import wheelroute.decision.state.RequestClassState;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;

/**
 * Makes all decisions of one dispatcher. Each event is passed on to the class that makes the
 * decision; the documentation of the package lists these classes.
 *
 * <p>{@link #advanceTo} sets the time before each event, and the {@link ActionHandler} carries out
 * the decisions. A policy is not thread-safe. It uses neither a clock nor I/O, so the same events
 * always lead to the same actions.
 */
public final class Policy {
    private final Settings settings;
    private final DecisionComponents components;
    private final DispatcherState state;

    /**
     * Creates the policy of a dispatcher, and starts the endpoint watch if the settings ask for
     * one.
     */
    public Policy(Settings settings, ActionHandler actions) {
        this.settings = settings;
        components = DecisionComponents.create(settings, actions);
        state = components.state();
        if (settings.watchesEndpoints()) {
            actions.watchEndpoints();
        }
    }

    /** Sets the time, in seconds, of the events that follow. */
    public void advanceTo(double time) {
        state.clock().advanceTo(time);
    }

    /** Handles a wakeup when the delay given to {@link ActionHandler#scheduleWakeup} has passed. */
    public void onWakeup() {
        components.keyQueues().advanceAll();
        if (components.sweepTimer().beginIfDue()) {
            components.detector().sweep();
            scheduleSweep();
        }
    }

    private void scheduleSweep() {
        if (!state.workers().busy().isEmpty() || !state.keyQueues().isEmpty()) {
            components.sweepTimer().schedule();
        }
    }

    /**
     * Handles the endpoint list or a change of it.
     *
     * @param complete whether the endpoints are the whole list, so that workers missing from it
     *     were removed
     */
    public void onEndpoints(List<Endpoint> endpoints, boolean complete) {
        for (WorkerState worker : components.endpointUpdates().apply(endpoints, complete)) {
            if (worker.isRetainedAfterRemoval()) {
                // The list may be wrong about the worker, whose attempts may then still be running.
                components.replacer().replaceWithinBudget(worker, attempt -> true);
            } else {
                components.replacer().replaceLost(worker);
            }
        }
        state.workers().forgetRemoved();
    }

    /**
     * Handles an answer of discovery, which confirms the endpoint list even if nothing has changed.
     */
    public void onEndpointsConfirmed() {
        state.endpointLease().renew(state.clock().now());
    }

    /**
     * Records that discovery is overloaded, which means that it answers other dispatchers but not
     * this one.
     */
    public void onDiscoveryOverloaded() {
        state.endpointLease().onOverload();
    }

    /**
     * Returns whether the endpoint list is too old to send to any worker, which happens only while
     * discovery is overloaded.
     */
    public boolean isEndpointLeaseExpired() {
        return state.endpointLease().isExpired(state.clock().now());
    }

    /**
     * Sets the part of the common limits that this dispatcher may use. The limits are divided
     * evenly until the first call.
     */
    public void setShares(DispatcherShares shares) {
        state.dispatchers().setShares(shares);
    }

    /**
     * Sets how many processes act as this one dispatcher; there are two while one replaces the
     * other. Each is assumed to get an equal part of the traffic and of the common limits.
     */
    public void setProcessCount(int count) {
        state.dispatchers().setProcessCount(count);
    }

    /** Returns the statistics learned so far, for a successor process. */
    public LearnedState exportState() {
        return components.transfer().exportState();
    }

    /**
     * Imports the statistics of a predecessor process. Must be called after the endpoint list is
     * known and before any request is accepted. Unknown workers, models and classes are skipped.
     */
    public void importState(LearnedState learned) {
        components.transfer().importState(learned);
    }

    /** Returns the number of listed workers that are draining, backing off or ejected. */
    public int avoidedEndpointCount() {
        return state.workers().avoidedCount(state.clock().now());
    }

    /**
     * Accepts a request, which gets exactly one final answer from then on.
     *
     * @return the handle that takes the events of the request; null if the settings have no such
     *     request class
     */
    public RequestHandle accept(Request request) {
        RequestClassState requestClass = state.requestClasses().get(request.requestClass());
        if (requestClass == null) {
            return null;
        }
        TrackedRequest tracked = track(request, requestClass);
        state.traffic().recordFirstRequest(tracked.acceptedAt());
        if (!request.clientRetry()) {
            // A client's retry counts neither as load nor as use of a quota. Otherwise rejections
            // would raise the rates that lead to rejections.
            state.traffic().record(tracked, settings.hasQuota(request.tenant()));
        }
        components.hedgingBudget().onRequestAccepted();
        if (tracked.queue() != null) {
            components.keyQueues().add(tracked);
            scheduleSweep();
        } else {
            components.placer().place(tracked);
        }
        return new RequestEvents(tracked, components);
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
