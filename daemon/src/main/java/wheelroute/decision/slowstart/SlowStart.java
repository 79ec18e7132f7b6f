package wheelroute.decision.slowstart;

import wheelroute.decision.estimates.ModelStatistics;
import wheelroute.decision.estimates.TrafficStatistics;
import wheelroute.decision.estimates.WorkerEstimates;
import wheelroute.decision.state.DecisionClock;
import wheelroute.decision.state.DispatcherGroup;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;

/** Rule 4: this dispatcher's share of what a worker in slow start may be sent within any window. */
public record SlowStart(
        DecisionClock clock,
        double overloadWindowSeconds,
        TrafficStatistics traffic,
        DispatcherGroup dispatchers) {
    /** Whether the worker may get this request now; always after its slow start. */
    public boolean admits(WorkerState worker, TrackedRequest request) {
        double now = clock.now();
        WorkerEstimates estimates = worker.estimates();
        double rampFraction = estimates.rampFraction(now - overloadWindowSeconds);
        if (rampFraction >= 1) {
            return true;
        }
        // The slots that were seen in use by this dispatcher alone, or the work that warm workers
        // of the model do for all dispatchers, whichever is more.
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
