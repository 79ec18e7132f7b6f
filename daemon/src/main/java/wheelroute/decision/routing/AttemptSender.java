package wheelroute.decision.routing;

import wheelroute.decision.ActionHandler;
import wheelroute.decision.estimates.Candidate;
import wheelroute.decision.health.SweepTimer;
import wheelroute.decision.state.Attempt;
import wheelroute.decision.state.DecisionClock;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;
import wheelroute.decision.state.WorkerTable;

/**
 * Starts and cancels attempts, and updates the state of requests and workers accordingly. The
 * decisions are made by other classes.
 */
public final class AttemptSender {
    /** The limit passed for an attempt that may take until the deadline of its request. */
    private static final double NO_LIMIT_SECONDS = 0;

    private final DecisionClock clock;
    private final ActionHandler actions;
    private final WorkerTable workers;
    private final SweepTimer sweepTimer;
    private final boolean mayCancel;

    /**
     * Creates the sender of one dispatcher.
     *
     * @param mayCancel whether attempts of a request that needs no further answer are cancelled
     */
    public AttemptSender(
            DecisionClock clock,
            ActionHandler actions,
            WorkerTable workers,
            SweepTimer sweepTimer,
            boolean mayCancel) {
        this.clock = clock;
        this.actions = actions;
        this.workers = workers;
        this.sweepTimer = sweepTimer;
        this.mayCancel = mayCancel;
    }

    /** Starts an attempt at the chosen worker. */
    void start(TrackedRequest request, Candidate chosen) {
        double now = clock.now();
        WorkerState worker = chosen.worker();
        Attempt attempt = new Attempt(request, request.attempts().size(), chosen, now);
        int attemptCount = worker.countAttempt();
        if (request.affinity() != null) {
            request.affinity().recordAttempt(worker, attemptCount);
        }
        request.add(attempt);
        if (workers.add(attempt)) {
            sweepTimer.schedule();
        }
        worker.slowStartBudget().recordSent(now, request.work() * request.slots());
        actions.startAttempt(request.request().id(), worker.id(), NO_LIMIT_SECONDS);
    }

    /** Cancels one attempt in flight. */
    public void cancel(Attempt attempt) {
        attempt.cancel();
        actions.cancelAttempt(attempt.request().request().id(), attempt.number());
    }

    /**
     * Cancels the attempts in flight of a request that needs no further answer, if the settings
     * allow it.
     */
    public void cancelAll(TrackedRequest request) {
        for (int i = 0; i < request.attempts().size() && mayCancel; i++) {
            Attempt attempt = request.attempts().get(i);
            if (attempt.isInFlight() && !attempt.isCancelled()) {
                cancel(attempt);
            }
        }
    }
}
