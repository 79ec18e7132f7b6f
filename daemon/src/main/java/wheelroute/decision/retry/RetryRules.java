package wheelroute.decision.retry;

import java.util.function.BooleanSupplier;
import wheelroute.decision.EarlierAttempt;
import wheelroute.decision.Idempotency;
import wheelroute.decision.Ids;
import wheelroute.decision.Outcome;
import wheelroute.decision.Settings;
import wheelroute.decision.endpoints.EndpointLease;
import wheelroute.decision.state.Attempt;
import wheelroute.decision.state.DecisionClock;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;

/**
 * Enforces rule 2, that no request has its effect twice even if its client sends it again, and rule
 * 3 while the endpoint list is unconfirmed. Decides whether and on which workers a request may be
 * attempted again, how an attempt without a response is replaced, and whether the request may be
 * rejected, which tells the client that a retry is safe.
 */
public record RetryRules(
        DecisionClock clock,
        Settings settings,
        EndpointLease endpointLease,
        ErrorAttribution errorAttribution) {
    /**
     * The minimum time before the deadline for another attempt. With less time left no answer could
     * arrive.
     */
    private static final double MIN_TIME_LEFT_SECONDS = 0.02;

    /**
     * The margin by which the time for which workers recognize an idempotency key is shortened
     * here. That time begins at the worker, and a repeat must still reach the worker within it.
     */
    private static final double IDEMPOTENCY_WINDOW_MARGIN_SECONDS = 0.5;

    /**
     * The number of attempts that do not count against the maximum, of those that failed locally
     * before anything was sent.
     */
    private static final int UNCOUNTED_LOCAL_FAILURES = 2;

    /** Returns whether one more attempt may be made, regardless of its worker. */
    public AttemptPermission permitAttempt(TrackedRequest request) {
        double now = clock.now();
        if (endpointLease.isExpired(now)) {
            return AttemptPermission.ENDPOINT_LEASE_EXPIRED;
        }
        if (request.isClosed() || request.isStreaming() || request.isInvalid()) {
            return AttemptPermission.REQUEST_CLOSED;
        }
        if (request.hasFailed() && errorAttribution.areRequestsAtFault()) {
            return AttemptPermission.REQUEST_AT_FAULT;
        }
        if (countedAttempts(request) >= settings.maxAttempts()) {
            return AttemptPermission.ATTEMPTS_EXHAUSTED;
        }
        if (request.hasInFlight() && !settings.mayHedge()) {
            return AttemptPermission.HEDGING_FORBIDDEN;
        }
        if (now > request.request().deadline() - MIN_TIME_LEFT_SECONDS) {
            return AttemptPermission.DEADLINE_TOO_CLOSE;
        }
        boolean mustNotRepeat = request.settings().idempotency() == Idempotency.NON_IDEMPOTENT;
        return mustNotRepeat && request.mayHaveRun()
                ? AttemptPermission.MAY_HAVE_RUN
                : AttemptPermission.ALLOWED;
    }

    /**
     * Returns the number of attempts that count against the maximum. A few attempts that failed
     * locally are left out, because no worker has seen them.
     */
    private static int countedAttempts(TrackedRequest request) {
        int notSent = 0;
        for (int i = 0; i < request.attempts().size(); i++) {
            notSent += request.attempts().get(i).outcome() == Outcome.NOT_SENT ? 1 : 0;
        }
        return request.attempts().size() - Math.min(notSent, UNCOUNTED_LOCAL_FAILURES);
    }

    /**
     * Returns whether the next attempt may go to this worker. The worker must be of the model that
     * the request needs, must neither have rejected the request nor be running it, and must
     * recognize the idempotency key of every attempt that may have run.
     */
    public boolean mayRunOn(TrackedRequest request, WorkerState worker) {
        for (int i = 0; i < request.attempts().size(); i++) {
            Attempt earlier = request.attempts().get(i);
            boolean excludesWorker = earlier.isInFlight() || earlier.outcome() == Outcome.REJECTED;
            if (earlier.worker() == worker && excludesWorker) {
                return false;
            }
        }
        if (request.settings().idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                && !recognizesRepeat(worker, request)) {
            return false;
        }
        Ids.Model model = request.settings().model();
        return model == null || model.equals(worker.endpoint().model());
    }

    /** Returns whether a worker recognizes the key of every attempt that may have run. */
    private boolean recognizesRepeat(WorkerState worker, TrackedRequest request) {
        for (Attempt attempt : request.attempts()) {
            if (attempt.mayHaveRun()
                    && !recognizesRepeat(worker, attempt.asEarlier(), request.settings())) {
                return false;
            }
        }
        for (EarlierAttempt earlier : request.earlierAttempts()) {
            if (!recognizesRepeat(worker, earlier, request.settings())) {
                return false;
            }
        }
        return true;
    }

    private boolean recognizesRepeat(
            WorkerState worker, EarlierAttempt earlier, Settings.RequestClass requestClass) {
        double windowSeconds = requestClass.idempotencyWindowSeconds();
        return clock.now() <= earlier.sentAt() + windowSeconds - IDEMPOTENCY_WINDOW_MARGIN_SECONDS
                && requestClass.idempotencyScope().covers(earlier, worker.endpoint());
    }

    /**
     * Returns how an attempt without a response may be replaced. If hedging is forbidden, the
     * attempt must be cancelled first, which is worthwhile only if a retry will then be possible.
     *
     * @param hasOtherWorker whether another worker could take the request now
     */
    Replacement replacementFor(Attempt attempt, BooleanSupplier hasOtherWorker) {
        TrackedRequest request = attempt.request();
        if (request.isClosed() || request.isStreaming()) {
            return Replacement.NONE;
        }
        if (settings.mayHedge()) {
            return Replacement.HEDGE;
        }
        boolean canRetry =
                settings.mayCancel()
                        && switch (request.settings().idempotency()) {
                            case IDEMPOTENT -> true;
                            // The retry must reach a worker that recognizes the key, and the worker
                            // of this attempt must respond to others, so that only this attempt
                            // is affected.
                            case IDEMPOTENT_BY_KEY ->
                                    attempt.worker().health().lastResponseAt()
                                                    > attempt.lastMessageAt()
                                            && hasOtherWorker.getAsBoolean();
                            case NON_IDEMPOTENT -> false;
                        };
        return canRetry ? Replacement.CANCEL_THEN_RETRY : Replacement.NONE;
    }

    /**
     * Returns whether a retry by the client is safe, either because no attempt can have run or
     * because a retry does no harm on any worker.
     */
    public boolean isClientRetrySafe(TrackedRequest request) {
        return !request.mayHaveRun()
                || (request.settings().isSafeToRetryAnywhere() && !request.isInvalid());
    }
}
