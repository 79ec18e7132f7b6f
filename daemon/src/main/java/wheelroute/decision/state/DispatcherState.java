package wheelroute.decision.state;

import java.util.HashMap;
import java.util.Map;
import wheelroute.decision.Ids;
import wheelroute.decision.Settings;
import wheelroute.decision.endpoints.EndpointLease;
import wheelroute.decision.estimates.CacheMissCost;
import wheelroute.decision.estimates.TrafficStatistics;
import wheelroute.decision.order.KeyQueueTable;
import wheelroute.decision.routing.KeyAffinity;

/**
 * The complete state of one dispatcher. Each class that decides receives only the parts that it
 * uses; this record contains no decision logic.
 *
 * @param requestClasses the request classes of the settings, by id
 */
public record DispatcherState(
        DecisionClock clock,
        WorkerTable workers,
        DispatcherGroup dispatchers,
        TrafficStatistics traffic,
        CacheMissCost cacheMissCost,
        KeyAffinity<WorkerState> affinity,
        Map<Ids.RequestClass, RequestClassState> requestClasses,
        KeyQueueTable keyQueues,
        EndpointLease endpointLease,
        RandomDraws random) {
    /** Creates the initial state of a dispatcher, before it has any endpoint list. */
    public static DispatcherState create(Settings settings) {
        TrafficStatistics traffic = new TrafficStatistics();
        Map<Ids.RequestClass, RequestClassState> requestClasses = new HashMap<>();
        for (Settings.RequestClass requestClass : settings.requestClasses()) {
            requestClasses.put(requestClass.id(), new RequestClassState(requestClass));
        }
        return new DispatcherState(
                new DecisionClock(),
                new WorkerTable(settings, traffic),
                new DispatcherGroup(settings),
                traffic,
                new CacheMissCost(),
                new KeyAffinity<>(WorkerState::endpoint),
                requestClasses,
                new KeyQueueTable(),
                new EndpointLease(settings.drainGraceSeconds()),
                new RandomDraws(settings.seed()));
    }
}
