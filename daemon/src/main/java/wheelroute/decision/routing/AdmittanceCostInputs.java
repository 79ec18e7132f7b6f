package wheelroute.decision.routing;

import wheelroute.decision.Settings;
import wheelroute.decision.estimates.CacheMissCost;
import wheelroute.decision.estimates.TrafficStatistics;
import wheelroute.decision.health.OutlierEjection;
import wheelroute.decision.state.DispatcherGroup;

/** The values that an {@link AdmittanceCost} depends on besides the request and the worker. */
public record AdmittanceCostInputs(
        Settings settings,
        TrafficStatistics traffic,
        DispatcherGroup dispatchers,
        CacheMissCost cacheMissCost,
        OutlierEjection ejection) {}
