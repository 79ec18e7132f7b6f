package wheelroute.decision.state;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import wheelroute.decision.ActionHandler;
import wheelroute.decision.DispatcherShares;
import wheelroute.decision.Ids;
import wheelroute.decision.Settings;
import wheelroute.decision.endpoints.EndpointLease;
import wheelroute.decision.estimates.CacheMissCost;
import wheelroute.decision.estimates.TrafficStatistics;
import wheelroute.decision.order.KeyQueue;
import wheelroute.decision.routing.KeyAffinity;
import wheelroute.decision.slowstart.SlowStartBudget;

/**
 * What all parts of the policy share: the settings, the time of the present event, and the workers,
 * request classes and traffic as this dispatcher knows them. State only; it decides nothing.
 */
public final class DispatcherState {
    private final Settings settings;
    private final ActionHandler actions;
    private final WorkerTable workers;
    private final SlowStartBudget.Limits slowStartLimits;
    private final RandomDraws random;
    private final TrafficStatistics traffic = new TrafficStatistics();
    private final CacheMissCost cacheMissCost = new CacheMissCost();
    private final KeyAffinity<WorkerState> affinity = new KeyAffinity<>(WorkerState::endpoint);
    private final Map<Ids.RequestClass, RequestClassState> requestClasses = new HashMap<>();

    /** Keys whose requests run one at a time, in the order in which they came to be queued. */
    private final Map<Ids.Key, KeyQueue> keyQueues = new LinkedHashMap<>();

    private final EndpointLease endpointLease;
    private DispatcherShares shares;
    private int processCount = 1;
    private double now;

    /** Creates the state of a dispatcher that knows no worker yet. */
    public DispatcherState(Settings settings, ActionHandler actions) {
        this.settings = settings;
        this.actions = actions;
        workers = new WorkerTable(settings);
        random = new RandomDraws(settings.seed());
        shares = DispatcherShares.even(settings);
        endpointLease = new EndpointLease(settings.drainGraceSeconds());
        slowStartLimits =
                new SlowStartBudget.Limits(
                        Math.max(1, settings.dispatchers()),
                        settings.position(),
                        settings.overloadMultiple(),
                        settings.overloadWindowSeconds());
        for (Settings.RequestClass requestClass : settings.requestClasses()) {
            requestClasses.put(requestClass.id(), new RequestClassState(requestClass));
        }
    }

    /** Returns the settings, which never change. */
    public Settings settings() {
        return settings;
    }

    /** Returns the handler that carries decisions out. */
    public ActionHandler actions() {
        return actions;
    }

    /** Returns the workers as this dispatcher knows them. */
    public WorkerTable workers() {
        return workers;
    }

    /** Returns what is measured of the accepted requests. */
    public TrafficStatistics traffic() {
        return traffic;
    }

    /** Returns the estimated cost of running a request where its key is not cached. */
    public CacheMissCost cacheMissCost() {
        return cacheMissCost;
    }

    /** Returns where each key's data is likely cached. */
    public KeyAffinity<WorkerState> affinity() {
        return affinity;
    }

    /** Returns the request classes of the settings, by id. */
    public Map<Ids.RequestClass, RequestClassState> requestClasses() {
        return requestClasses;
    }

    /** Returns the queues of keys with open requests, in the order of their creation. */
    public Map<Ids.Key, KeyQueue> keyQueues() {
        return keyQueues;
    }

    /** Returns the source of chance. */
    public RandomDraws random() {
        return random;
    }

    SlowStartBudget.Limits slowStartLimits() {
        return slowStartLimits;
    }

    /** Returns the lease that bounds the use of an unconfirmed endpoint list. */
    public EndpointLease endpointLease() {
        return endpointLease;
    }

    /** Seconds; the time of the event that is being decided on. */
    public double now() {
        return now;
    }

    /** Sets the time of the event that is decided on next. */
    public void setNow(double time) {
        now = time;
    }

    /** What this dispatcher may use of the quotas that all dispatchers share. */
    public DispatcherShares shares() {
        return shares;
    }

    /** Replaces this dispatcher's shares. */
    public void setShares(DispatcherShares newShares) {
        shares = newShares;
    }

    /** Processes that are this one dispatcher, while one replaces another. */
    public int processCount() {
        return processCount;
    }

    /** Sets how many processes are this one dispatcher; less than 1 counts as 1. */
    public void setProcessCount(int count) {
        processCount = Math.max(1, count);
    }

    /** Processes that send to the same workers, if all dispatchers have as many as this one. */
    public int senderCount() {
        return processCount * Math.max(1, settings.dispatchers());
    }
}
