package wheelroute.decision.routing;

import wheelroute.decision.Settings;
import wheelroute.decision.admission.Admission;
import wheelroute.decision.health.OutlierEjection;
import wheelroute.decision.health.SweepTimer;
import wheelroute.decision.order.KeyQueues;
import wheelroute.decision.retry.RetryRules;
import wheelroute.decision.state.Attempt;
import wheelroute.decision.state.DispatcherState;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;

/** Starts the next attempt of a request, or gives it its final answer if nothing is left to try. */
public final class RequestPlacer {
    /**
     * A second choice must wait at most this fraction of what is borne: overload must not fill
     * every queue.
     */
    private static final double SECOND_CHOICE_FRACTION = 0.4;

    private final DispatcherState state;
    private final WorkerSelector selector;
    private final RetryRules retryRules;
    private final Admission admission;
    private final SweepTimer sweeps;
    private final KeyQueues keyQueues;

    /** Creates the placer of one dispatcher. */
    public RequestPlacer(
            DispatcherState state,
            WorkerSelector selector,
            RetryRules retryRules,
            SweepTimer sweeps) {
        this.state = state;
        this.selector = selector;
        this.retryRules = retryRules;
        this.sweeps = sweeps;
        admission = new Admission(state);
        keyQueues = new KeyQueues(state, this);
    }

    /** Returns the queues of requests that run one at a time. */
    public KeyQueues keyQueues() {
        return keyQueues;
    }

    /** Sends it to the cheapest worker, or gives it up at once if nothing is left to wait for. */
    public void place(TrackedRequest request) {
        WorkerState best = retryRules.mayAttempt(request) ? selector.cheapest(request) : null;
        WorkerState choice = best;
        if (best != null && !request.hasInFlight() && retryRules.mayReject(request)) {
            Admission.Bounds bounds = admission.boundsFor(request);
            if (admission.isHopeless(request, best, 1, bounds)) {
                // The fastest worker has a queue; an idle one beside it may still be in time.
                choice =
                        selector.cheapestAmong(
                                request,
                                worker ->
                                        !admission.isHopeless(
                                                request, worker, SECOND_CHOICE_FRACTION, bounds));
            }
        }
        if (choice != null) {
            startAttempt(request, choice);
        } else if (!request.hasInFlight()) {
            giveUp(
                    request,
                    best == null
                            ? OutlierEjection.REJECTION_BACKOFF
                            : best.estimates().expectedWait());
        }
    }

    private void startAttempt(TrackedRequest request, WorkerState worker) {
        Attempt attempt = new Attempt(request, request.attempts().size(), worker, state.now());
        int count = worker.countAttempt();
        if (request.affinity() != null) {
            request.affinity().recordAttempt(worker, count);
        }
        request.add(attempt);
        if (state.workers().add(attempt)) {
            sweeps.schedule();
        }
        worker.slowStartBudget().recordSent(state.now(), request.work() * request.slots());
        state.actions().startAttempt(request.request().id(), worker.id(), 0);
    }

    /**
     * Rule 1: the one final answer, as soon as nothing is in flight and nothing more may be tried.
     *
     * @param retryAfter seconds after which a retry may go better
     */
    public void giveUp(TrackedRequest request, double retryAfter) {
        request.finish();
        Settings settings = state.settings();
        if (retryRules.mayReject(request)) {
            double advice =
                    settings.sendsRetryAfter()
                            ? Math.min(settings.maxRetryAfterSeconds(), retryAfter)
                            : 0;
            state.actions().reject(request.request().id(), advice);
        } else {
            state.actions().fail(request.request().id());
        }
        keyQueues.leave(request);
    }

    /** No work is done for an answer that nobody waits for, where attempts may be cancelled. */
    public void cancelAttempts(TrackedRequest request) {
        for (int i = 0; i < request.attempts().size() && state.settings().mayCancel(); i++) {
            Attempt attempt = request.attempts().get(i);
            if (attempt.isInFlight() && !attempt.isCancelled()) {
                cancel(attempt);
            }
        }
    }

    /** Cancels one attempt in flight. */
    public void cancel(Attempt attempt) {
        attempt.cancel();
        state.actions().cancelAttempt(attempt.request.request().id(), attempt.number);
    }
}
