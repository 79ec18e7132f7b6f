package wheelroute.decision.order;

import java.util.ArrayDeque;
import wheelroute.decision.Ids;
import wheelroute.decision.state.TrackedRequest;

/**
 * The requests of one key in the order of their acceptance. This class only holds the state; {@link
 * KeyQueues} makes the decisions.
 */
public final class KeyQueue {
    private final Ids.Key key;
    private final ArrayDeque<TrackedRequest> requests = new ArrayDeque<>();
    private double blockedUntil = Double.NEGATIVE_INFINITY;
    private double wakeupAt;

    KeyQueue(Ids.Key key) {
        this.key = key;
    }

    Ids.Key key() {
        return key;
    }

    /** Returns the requests of the key, of which only the first may have attempts. */
    ArrayDeque<TrackedRequest> requests() {
        return requests;
    }

    TrackedRequest first() {
        return requests.peekFirst();
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /**
     * Returns the time before which no request may begin, because an earlier attempt may still be
     * running.
     */
    double blockedUntil() {
        return blockedUntil;
    }

    void blockUntil(double time) {
        blockedUntil = Math.max(blockedUntil, time);
    }

    /**
     * Returns whether a wakeup must still be scheduled for the time at which the key is unblocked,
     * and marks it as scheduled.
     */
    boolean needsWakeup() {
        boolean needed = wakeupAt != blockedUntil;
        wakeupAt = blockedUntil;
        return needed;
    }
}
