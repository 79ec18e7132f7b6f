package wheelroute.decision.slowstart;

import wheelroute.decision.Settings;
import wheelroute.decision.estimates.ModelStatistics;
import wheelroute.decision.estimates.WorkerEstimates;
import wheelroute.decision.state.DispatcherState;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;

/** Rule 4: this dispatcher's share of what a worker that warms up may be sent within any window. */
public final class SlowStart {
    private final DispatcherState state;

    /** Creates the rule over the state of one dispatcher. */
    public SlowStart(DispatcherState state) {
        this.state = state;
    }

    /** Whether the worker, if it warms up, may get this request now. */
    public boolean admits(WorkerState worker, TrackedRequest request) {
        Settings settings = state.settings();
        WorkerEstimates estimates = worker.estimates();
        double warmth = estimates.warmth(state.now() - settings.overloadWindowSeconds());
        if (warmth >= 1) {
            return true;
        }
        // It has the slots seen busy, and does what all of its model do, for all dispatchers.
        ModelStatistics model = worker.model();
        double workRate =
                Math.max(
                        model.speed() * estimates.slots(),
                        state.senderCount()
                                * model.workRatePerWorker(
                                        state.now(), state.traffic().firstAcceptedAt()));
        double capacity =
                warmth * workRate * settings.overloadWindowSeconds() / state.processCount();
        return worker.slowStartBudget()
                .allows(
                        state.now(),
                        request.work() * request.slots(),
                        capacity,
                        state.traffic().meanLoad(),
                        state.shares());
    }
}
