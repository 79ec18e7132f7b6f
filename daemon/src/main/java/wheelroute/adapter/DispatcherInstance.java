package wheelroute.adapter;

import java.util.HashMap;
import java.util.Map;
import wheelroute.decision.ActionHandler;
import wheelroute.decision.Ids;
import wheelroute.decision.Policy;
import wheelroute.decision.RequestHandle;
import wheelroute.decision.Settings;
import wheelroute.net.discovery.Backoff;

/** One dispatcher of the simulation, with its policy and its open requests. Not thread-safe. */
final class DispatcherInstance {
    private final long id;
    private final Map<Long, RequestHandle> handles = new HashMap<>();

    /** The ids of request classes by name, kept to avoid an allocation for each request. */
    private final Map<String, Ids.RequestClass> requestClasses = new HashMap<>();

    /** The ids of tenants by name, kept to avoid an allocation for each request. */
    private final Map<String, Ids.Tenant> tenants = new HashMap<>();

    private Policy policy;
    private Backoff backoff;

    DispatcherInstance(long id) {
        this.id = id;
    }

    long id() {
        return id;
    }

    /**
     * Starts or restarts the dispatcher with these settings and without requests.
     *
     * @param now the time of the start, in seconds
     */
    void configure(Settings settings, ActionHandler actions, double now) {
        handles.clear();
        policy = new Policy(settings, actions);
        policy.advanceTo(now);
        backoff = settings.watchesEndpoints() ? new Backoff(settings.seed()) : null;
    }

    /** Removes the policy and all requests, for a dispatcher whose process was killed. */
    void kill() {
        policy = null;
        handles.clear();
    }

    /** Returns the policy; null before the dispatcher is configured and after it was killed. */
    Policy policy() {
        return policy;
    }

    /**
     * Returns the backoff between polls of the endpoint list; null if discovery sends the list
     * without polls.
     */
    Backoff backoff() {
        return backoff;
    }

    Ids.RequestClass requestClass(String name) {
        return requestClasses.computeIfAbsent(name, Ids.RequestClass::new);
    }

    Ids.Tenant tenant(String name) {
        return tenants.computeIfAbsent(name, Ids.Tenant::new);
    }

    /** Returns the handle of a request; null if the request is not open. */
    RequestHandle handle(long request) {
        return handles.get(request);
    }

    /** Stores the handle of a request, or removes the handle if the request is complete. */
    void updateHandle(long request, RequestHandle handle) {
        if (handle.isComplete()) {
            handles.remove(request);
        } else {
            handles.put(request, handle);
        }
    }
}
