package wheelroute.decision.order;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import wheelroute.decision.Ids;
import wheelroute.decision.admission.Admission;
import wheelroute.decision.health.SweepTimer;
import wheelroute.decision.routing.RequestPlacer;
import wheelroute.decision.state.DispatcherState;
import wheelroute.decision.state.TrackedRequest;

/** The order of keys: requests of one key run one at a time, as they were accepted. */
public final class KeyQueues {
    private final DispatcherState state;
    private final RequestPlacer placer;

    /** Creates the queues of one dispatcher, which place requests through the given placer. */
    public KeyQueues(DispatcherState state, RequestPlacer placer) {
        this.state = state;
        this.placer = placer;
    }

    /** Returns the queue of a key, a new one if none of its requests is open. */
    public KeyQueue forKey(Ids.Key key) {
        return state.keyQueues().computeIfAbsent(key, KeyQueue::new);
    }

    /** Appends an accepted request to its queue, and places it if it is the first. */
    public void add(TrackedRequest request) {
        request.queue().requests().addLast(request);
        advance(request.queue());
    }

    /** Begins and gives up what is due in each queue. */
    public void advanceAll() {
        for (KeyQueue queue : new ArrayList<>(state.keyQueues().values())) {
            advance(queue);
        }
    }

    /** A request that is complete leaves its queue, and the next may begin. */
    public void leave(TrackedRequest request) {
        KeyQueue queue = request.queue();
        if (queue != null && request.isComplete() && queue.requests().remove(request)) {
            queue.extendQuiet(request.keyQuietUntil());
            advance(queue);
        }
    }

    /** Begins what may begin now, and gives up at once what cannot be in time any more. */
    private void advance(KeyQueue queue) {
        if (!queue.beginAdvance()) {
            return;
        }
        double now = state.now();
        try {
            giveUpLate(queue);
            while (!queue.isEmpty()
                    && queue.requests().peekFirst().attempts().isEmpty()
                    && now >= queue.quietUntil()) {
                placer.place(queue.requests().peekFirst());
            }
        } finally {
            queue.endAdvance();
        }
        if (queue.isEmpty() && now >= queue.quietUntil()) {
            state.keyQueues().remove(queue.key());
        } else if (!queue.isEmpty() && now < queue.quietUntil() && queue.noteWakeup()) {
            state.actions().scheduleWakeup(queue.quietUntil() - now);
        }
    }

    /**
     * A queue that cannot clear in time is shortened. Jobs keep their order, so each that would
     * begin too late costs one: of those not begun the one worth least for its time, and of these
     * the last.
     */
    private void giveUpLate(KeyQueue queue) {
        double free = Math.max(state.now(), queue.quietUntil());
        List<TrackedRequest> kept = new ArrayList<>();
        for (TrackedRequest request : new ArrayList<>(queue.requests())) {
            if (!request.attempts().isEmpty()) {
                free += request.remaining(state.now());
                continue;
            }
            double run = usualRun(request);
            double borne = Admission.borne(request.requestClass(), request.work(), run);
            double excess = free - request.acceptedAt() - borne;
            List<TrackedRequest> lesser = lesserThan(request, kept);
            boolean late =
                    isOutOfTime(request, queue)
                            || excess > lesser.stream().mapToDouble(this::usualRun).sum();
            for (int i = 0; !late && excess > 0 && i < lesser.size(); i++) {
                TrackedRequest least = lesser.get(i);
                kept.remove(least);
                excess -= usualRun(least);
                free -= usualRun(least);
                placer.giveUp(least, free - state.now());
            }
            if (late) {
                placer.giveUp(request, free - state.now());
            } else {
                kept.add(request);
                free += run;
            }
        }
    }

    private double usualRun(TrackedRequest request) {
        return request.work() / state.workers().meanSlotSpeed();
    }

    /** No sweep may come before its deadline, and it does not begin now. */
    private boolean isOutOfTime(TrackedRequest request, KeyQueue queue) {
        double now = state.now();
        boolean mustWait = request != queue.requests().peekFirst() || now < queue.quietUntil();
        return now + 2 * SweepTimer.INTERVAL > request.request().deadline() && mustWait;
    }

    /** Those of less value, the least first. */
    private static List<TrackedRequest> lesserThan(
            TrackedRequest request, List<TrackedRequest> others) {
        return others.stream()
                .filter(other -> other.value() < request.value())
                .sorted(Comparator.comparingDouble(TrackedRequest::value))
                .toList();
    }
}
