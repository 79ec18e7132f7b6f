package wheelroute.decision.order;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import wheelroute.decision.ActionHandler;
import wheelroute.decision.Outcome;
import wheelroute.decision.admission.Admission;
import wheelroute.decision.estimates.FleetEstimates;
import wheelroute.decision.health.SweepTimer;
import wheelroute.decision.routing.RequestPlacer;
import wheelroute.decision.state.DecisionClock;
import wheelroute.decision.state.TrackedRequest;

/**
 * Runs the requests of one key one at a time, in the order in which they were accepted. After an
 * attempt that may still be running, the key is blocked for a quiet period.
 *
 * @param quietPeriodSeconds the time for which a key is blocked after an attempt that may still be
 *     running
 */
public record KeyQueues(
        DecisionClock clock,
        double quietPeriodSeconds,
        KeyQueueTable queues,
        FleetEstimates fleet,
        RequestPlacer placer,
        ActionHandler actions) {
    /**
     * The time before its deadline at which a request that cannot begin yet is rejected, so that
     * the answer is sent in time.
     */
    private static final double REJECTION_MARGIN_SECONDS = 2 * SweepTimer.INTERVAL_SECONDS;

    /** Appends an accepted request to its queue, and places the request if it is the first. */
    public void add(TrackedRequest request) {
        request.queue().requests().addLast(request);
        advance(request.queue());
    }

    /** Places or rejects the requests that are due in each queue. */
    public void advanceAll() {
        for (KeyQueue queue : queues.copyOfAll()) {
            advance(queue);
        }
    }

    /**
     * Blocks the key of a request if the attempt that ended with this outcome may still be running.
     */
    public void onOutcome(TrackedRequest request, Outcome outcome) {
        if (outcome.mayStillRun()) {
            request.blockKeyUntil(clock.now() + quietPeriodSeconds);
        }
    }

    /** Removes a request from its queue if the request is complete, and begins the next one. */
    public void removeIfComplete(TrackedRequest request) {
        KeyQueue queue = request.queue();
        if (queue != null && request.isComplete() && queue.requests().remove(request)) {
            queue.blockUntil(request.keyBlockedUntil());
            advance(queue);
        }
    }

    private void advance(KeyQueue queue) {
        double now = clock.now();
        rejectLateRequests(queue);
        while (!queue.isEmpty()
                && queue.first().attempts().isEmpty()
                && now >= queue.blockedUntil()) {
            placer.place(queue.first());
            if (queue.first().isComplete()) {
                queue.requests().removeFirst();
            }
        }
        if (queue.isEmpty() && now >= queue.blockedUntil()) {
            queues.remove(queue);
        } else if (!queue.isEmpty() && now < queue.blockedUntil() && queue.needsWakeup()) {
            actions.scheduleWakeup(queue.blockedUntil() - now);
        }
    }

    /** Rejects requests until all remaining ones are expected to begin in time. */
    private void rejectLateRequests(KeyQueue queue) {
        double now = clock.now();
        double expectedStartAt = Math.max(now, queue.blockedUntil());
        List<TrackedRequest> kept = new ArrayList<>();
        for (TrackedRequest request : new ArrayList<>(queue.requests())) {
            if (!request.attempts().isEmpty()) {
                expectedStartAt += request.remainingSeconds(now);
                continue;
            }
            List<TrackedRequest> rejected = selectRejected(request, expectedStartAt, queue, kept);
            for (TrackedRequest other : rejected) {
                expectedStartAt -= kept.remove(other) ? fleet.expectedRunSeconds(other) : 0;
                reject(other, queue, expectedStartAt - now);
            }
            if (!rejected.contains(request)) {
                kept.add(request);
                expectedStartAt += fleet.expectedRunSeconds(request);
            }
        }
    }

    /**
     * Returns the requests to reject so that no other request begins too late. These are earlier
     * requests of less value, the least valuable first, if rejecting them is enough; otherwise it
     * is the given request.
     */
    private List<TrackedRequest> selectRejected(
            TrackedRequest request,
            double expectedStartAt,
            KeyQueue queue,
            List<TrackedRequest> kept) {
        double run = fleet.expectedRunSeconds(request);
        double maxWait = Admission.maxWaitSeconds(request.requestClass(), request.work(), run);
        double excessSeconds = expectedStartAt - request.acceptedAt() - maxWait;
        List<TrackedRequest> lowerPriority = withLowerPriority(request, kept);
        double savedSeconds = lowerPriority.stream().mapToDouble(fleet::expectedRunSeconds).sum();
        if (isDueForRejection(request, queue) || excessSeconds > savedSeconds) {
            return List.of(request);
        }
        List<TrackedRequest> rejected = new ArrayList<>();
        for (int i = 0; excessSeconds > 0 && i < lowerPriority.size(); i++) {
            rejected.add(lowerPriority.get(i));
            excessSeconds -= fleet.expectedRunSeconds(lowerPriority.get(i));
        }
        return rejected;
    }

    private void reject(TrackedRequest request, KeyQueue queue, double retryAfterSeconds) {
        placer.rejectOrFail(request, retryAfterSeconds);
        queue.requests().remove(request);
    }

    /**
     * Returns whether the request cannot begin now and the queue may not be inspected again before
     * its deadline.
     */
    private boolean isDueForRejection(TrackedRequest request, KeyQueue queue) {
        double now = clock.now();
        boolean mustWait = request != queue.first() || now < queue.blockedUntil();
        return now + REJECTION_MARGIN_SECONDS > request.request().deadline() && mustWait;
    }

    /**
     * Returns the other requests that have a lower priority weight than the given one, the lowest
     * weight first.
     */
    private static List<TrackedRequest> withLowerPriority(
            TrackedRequest request, List<TrackedRequest> others) {
        var lowerPriority =
                others.stream().filter(other -> other.priorityWeight() < request.priorityWeight());
        return lowerPriority
                .sorted(Comparator.comparingDouble(TrackedRequest::priorityWeight))
                .toList();
    }
}
