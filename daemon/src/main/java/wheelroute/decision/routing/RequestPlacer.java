package wheelroute.decision.routing;

import wheelroute.decision.ActionHandler;
import wheelroute.decision.Settings;
import wheelroute.decision.admission.Admission;
import wheelroute.decision.admission.AdmissionDecision;
import wheelroute.decision.admission.WaitLimits;
import wheelroute.decision.estimates.Candidate;
import wheelroute.decision.estimates.FleetSnapshot;
import wheelroute.decision.retry.AttemptPermission;
import wheelroute.decision.retry.RetryRules;
import wheelroute.decision.state.TrackedRequest;

/**
 * Starts the next attempt of a request, or answers the request if no further attempt can be made.
 */
public record RequestPlacer(
        Settings settings,
        RetryRules retryRules,
        WorkerSelector selector,
        Admission admission,
        AttemptSender sender,
        ActionHandler actions) {
    /**
     * The fraction of the maximum wait up to which a fallback worker is used. The fraction is well
     * below 1 so that overload does not spread to all queues.
     */
    private static final double FALLBACK_WAIT_FRACTION = 0.4;

    /**
     * The advice for a rejected client if no wait of a worker is known. It is about the length of a
     * job.
     */
    private static final double DEFAULT_RETRY_AFTER_SECONDS = 0.3;

    /**
     * Sends the request to the worker of least cost. If that is not possible, the request is
     * answered at once, unless an attempt of it is in flight.
     */
    public PlacementResult place(TrackedRequest request) {
        if (retryRules.permitAttempt(request) != AttemptPermission.ALLOWED) {
            return answerUnlessInFlight(
                    request, PlacementResult.ATTEMPT_NOT_PERMITTED, DEFAULT_RETRY_AFTER_SECONDS);
        }
        FleetSnapshot fleet = selector.snapshotFor(request);
        Candidate cheapest = selector.cheapest(request, fleet);
        if (cheapest == null) {
            return answerUnlessInFlight(
                    request, PlacementResult.NO_ELIGIBLE_WORKER, DEFAULT_RETRY_AFTER_SECONDS);
        }
        // The wait is checked only if the request could be rejected instead, because a long wait is
        // better than an answer that the request failed.
        boolean checksWait = !request.hasInFlight() && retryRules.isClientRetrySafe(request);
        Candidate chosen = checksWait ? admit(request, cheapest, fleet) : cheapest;
        if (chosen == null) {
            return answerUnlessInFlight(
                    request, PlacementResult.WAIT_TOO_LONG, cheapest.expectedWaitSeconds());
        }
        sender.start(request, chosen);
        return PlacementResult.ATTEMPT_STARTED;
    }

    /** Returns the cheapest worker or a fallback; null if the request would wait too long. */
    private Candidate admit(TrackedRequest request, Candidate cheapest, FleetSnapshot fleet) {
        WaitLimits limits = admission.waitLimitsFor(request);
        if (admission.decide(request, cheapest, 1, limits) == AdmissionDecision.ADMITTED) {
            return cheapest;
        }
        // The cheapest worker may be a fast one with a queue while a slower one is idle.
        return selector.cheapestFallback(
                request,
                fleet,
                candidate ->
                        admission.decide(request, candidate, FALLBACK_WAIT_FRACTION, limits)
                                == AdmissionDecision.ADMITTED);
    }

    private PlacementResult answerUnlessInFlight(
            TrackedRequest request, PlacementResult reason, double retryAfterSeconds) {
        if (request.hasInFlight()) {
            return PlacementResult.AWAITING_ATTEMPT;
        }
        rejectOrFail(request, retryAfterSeconds);
        return reason;
    }

    /**
     * Rejects the request, or fails it if a retry by the client is not safe. This is the one final
     * answer of rule 1, to be given when no attempt is in flight and no more may be made.
     *
     * @param retryAfterSeconds the time after which a retry may succeed
     */
    public void rejectOrFail(TrackedRequest request, double retryAfterSeconds) {
        request.markClosed();
        if (retryRules.isClientRetrySafe(request)) {
            double advisedSeconds = Math.min(settings.maxRetryAfterSeconds(), retryAfterSeconds);
            actions.reject(request.request().id(), settings.sendsRetryAfter() ? advisedSeconds : 0);
        } else {
            actions.fail(request.request().id());
        }
    }
}
