package wheelroute.adapter;

import java.util.HashMap;
import java.util.Map;
import wheelroute.decision.ActionHandler;
import wheelroute.decision.Ids;
import wheelroute.decision.Policy;
import wheelroute.decision.RequestHandle;
import wheelroute.decision.Settings;
import wheelroute.net.discovery.Backoff;

/** A dispatcher of the simulation: its policy and its open requests. Not thread-safe. */
final class DispatcherInstance {
    private final long id;
    private final Map<Long, RequestHandle> handles = new HashMap<>();

    /** One object for each name, to avoid garbage. */
    private final Map<String, Ids.RequestClass> requestClasses = new HashMap<>();

    private final Map<String, Ids.Tenant> tenants = new HashMap<>();

    private Policy policy;
    private Backoff backoff;

    DispatcherInstance(long id) {
        this.id = id;
    }

    long id() {
        return id;
    }

    /** Starts the dispatcher, or restarts it, with these settings and without requests. */
    void configure(Settings settings, ActionHandler actions, double now) {
        handles.clear();
        policy = new Policy(settings, actions);
        policy.advanceTo(now);
        backoff = settings.watchesEndpoints() ? new Backoff(settings.seed()) : null;
    }

    /** Drops the policy and its requests. */
    void kill() {
        policy = null;
        handles.clear();
    }

    /** Returns the policy; null before the dispatcher is configured and after it was killed. */
    Policy policy() {
        return policy;
    }

    /** Returns the backoff between polls for the endpoint list; null if the list is pushed. */
    Backoff backoff() {
        return backoff;
    }

    Ids.RequestClass requestClass(String name) {
        return requestClasses.computeIfAbsent(name, Ids.RequestClass::new);
    }

    Ids.Tenant tenant(String name) {
        return tenants.computeIfAbsent(name, Ids.Tenant::new);
    }

    /** Returns the handle of an open request; null for any other. */
    RequestHandle handle(long request) {
        return handles.get(request);
    }

    /** Adds the handle of a request, or removes it once the request is complete. */
    void updateHandle(long request, RequestHandle handle) {
        if (handle.isComplete()) {
            handles.remove(request);
        } else {
            handles.put(request, handle);
        }
    }
}
