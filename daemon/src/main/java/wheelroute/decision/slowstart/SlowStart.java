package wheelroute.decision.slowstart;

import wheelroute.decision.estimates.ModelStatistics;
import wheelroute.decision.estimates.TrafficStatistics;
import wheelroute.decision.estimates.WorkerEstimates;
import wheelroute.decision.state.DecisionClock;
import wheelroute.decision.state.DispatcherGroup;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;

/**
 * Enforces rule 4 by limiting what this dispatcher sends to a worker in slow start to its share of
 * what the worker may get within any window.
 */
public record SlowStart(
        DecisionClock clock,
        double overloadWindowSeconds,
        TrafficStatistics traffic,
        DispatcherGroup dispatchers) {
    /**
     * Returns whether the worker may get this request now, which is always so after its slow start.
     */
    public boolean admits(WorkerState worker, TrackedRequest request) {
        double now = clock.now();
        WorkerEstimates estimates = worker.estimates();
        double rampFraction = estimates.rampFraction(now - overloadWindowSeconds);
        if (rampFraction >= 1) {
            return true;
        }
        // The work rate follows from the slots that this dispatcher alone has seen in use, or from
        // the work that warm workers of the model do for all dispatchers, whichever is more.
        ModelStatistics model = worker.model();
        double workRate =
                Math.max(
                        model.speed() * estimates.slots(),
                        dispatchers.senderCount()
                                * model.workRatePerWorker(now, traffic.firstAcceptedAt()));
        double capacity =
                rampFraction * workRate * overloadWindowSeconds / dispatchers.processCount();
        return worker.slowStartBudget()
                .allows(
                        now,
                        request.work() * request.slots(),
                        capacity,
                        traffic.meanLoad(),
                        dispatchers.shares());
    }
}
