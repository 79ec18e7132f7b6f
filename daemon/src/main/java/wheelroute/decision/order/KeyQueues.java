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
 * The order of keys: requests of one key run one at a time, in the order in which they were
 * accepted. After an attempt that may still be running, the key is blocked for a while.
 *
 * @param quietPeriodSeconds how long a key is blocked after an attempt that may still run
 */
public record KeyQueues(
        DecisionClock clock,
        double quietPeriodSeconds,
        KeyQueueTable queues,
        FleetEstimates fleet,
        RequestPlacer placer,
        ActionHandler actions) {
    /** A request that must still wait this long before its deadline is rejected in time. */
    private static final double REJECTION_MARGIN_SECONDS = 2 * SweepTimer.INTERVAL_SECONDS;

    /** Appends an accepted request to its queue, and places it if it is the first. */
    public void add(TrackedRequest request) {
        request.queue().requests().addLast(request);
        advance(request.queue());
    }

    /** Begins and rejects what is due in each queue. */
    public void advanceAll() {
        for (KeyQueue queue : queues.copyOfAll()) {
            advance(queue);
        }
    }

    /** Blocks the key of a request if its attempt, which ended so, may still be running. */
    public void onOutcome(TrackedRequest request, Outcome outcome) {
        if (outcome.mayStillRun()) {
            request.blockKeyUntil(clock.now() + quietPeriodSeconds);
        }
    }

    /** Removes a request from its queue if it is complete, and begins the next. */
    public void removeIfComplete(TrackedRequest request) {
        KeyQueue queue = request.queue();
        if (queue != null && request.isComplete() && queue.requests().remove(request)) {
            queue.blockUntil(request.keyBlockedUntil());
            advance(queue);
        }
    }

    private void advance(KeyQueue queue) {
        double now = clock.now();
        rejectLate(queue);
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

    /** Rejects requests until all others are expected to begin in time. */
    private void rejectLate(KeyQueue queue) {
        double now = clock.now();
        double beginsAt = Math.max(now, queue.blockedUntil());
        List<TrackedRequest> kept = new ArrayList<>();
        for (TrackedRequest request : new ArrayList<>(queue.requests())) {
            if (!request.attempts().isEmpty()) {
                beginsAt += request.remainingSeconds(now);
                continue;
            }
            List<TrackedRequest> rejected = rejectedFor(request, beginsAt, queue, kept);
            for (TrackedRequest other : rejected) {
                beginsAt -= kept.remove(other) ? fleet.expectedRunSeconds(other) : 0;
                reject(other, queue, beginsAt - now);
            }
            if (!rejected.contains(request)) {
                kept.add(request);
                beginsAt += fleet.expectedRunSeconds(request);
            }
        }
    }

    /**
     * Returns the requests to reject so that no other begins too late: those before this one that
     * are of less value, the least first, if that is enough, or else this one.
     */
    private List<TrackedRequest> rejectedFor(
            TrackedRequest request, double beginsAt, KeyQueue queue, List<TrackedRequest> kept) {
        double run = fleet.expectedRunSeconds(request);
        double maxWait = Admission.maxWaitSeconds(request.requestClass(), request.work(), run);
        double excess = beginsAt - request.acceptedAt() - maxWait;
        List<TrackedRequest> lesser = ofLessValue(request, kept);
        double gain = lesser.stream().mapToDouble(fleet::expectedRunSeconds).sum();
        if (isOutOfTime(request, queue) || excess > gain) {
            return List.of(request);
        }
        List<TrackedRequest> rejected = new ArrayList<>();
        for (int i = 0; excess > 0 && i < lesser.size(); i++) {
            rejected.add(lesser.get(i));
            excess -= fleet.expectedRunSeconds(lesser.get(i));
        }
        return rejected;
    }

    private void reject(TrackedRequest request, KeyQueue queue, double retryAfterSeconds) {
        placer.rejectOrFail(request, retryAfterSeconds);
        queue.requests().remove(request);
    }

    /**
     * Whether it cannot begin now, and the queue may not be looked at again before its deadline.
     */
    private boolean isOutOfTime(TrackedRequest request, KeyQueue queue) {
        double now = clock.now();
        boolean mustWait = request != queue.first() || now < queue.blockedUntil();
        return now + REJECTION_MARGIN_SECONDS > request.request().deadline() && mustWait;
    }

    /** Returns those of less value than the request, the least first. */
    private static List<TrackedRequest> ofLessValue(
            TrackedRequest request, List<TrackedRequest> others) {
        var lesser = others.stream().filter(other -> other.value() < request.value());
        return lesser.sorted(Comparator.comparingDouble(TrackedRequest::value)).toList();
    }
}
