package wheelroute.decision;

/** Rule 4: this dispatcher's share of what a worker that warms up may be sent within any window. */
final class SlowStart {
    private final DispatcherState state;

    SlowStart(DispatcherState state) {
        this.state = state;
    }

    /** Whether the worker, if it warms up, may get this request now. */
    boolean admits(WorkerState worker, TrackedRequest request) {
        Settings settings = state.settings();
        WorkerEstimates estimates = worker.estimates();
        double warmth = estimates.warmth(state.now() - settings.overloadWindow());
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
        double capacity = warmth * workRate * settings.overloadWindow() / state.processCount();
        return worker.slowStartBudget()
                .allows(
                        state.now(),
                        request.work() * request.slots(),
                        capacity,
                        state.traffic().meanLoad(),
                        state.shares());
    }
}
