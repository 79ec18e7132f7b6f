package wheelroute.decision.order;

import java.util.ArrayDeque;
import wheelroute.decision.Ids;
import wheelroute.decision.state.TrackedRequest;

/**
 * The requests of one key in the order of their acceptance. State only; {@link KeyQueues} decides.
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

    /** Returns the requests; only the first may have attempts. */
    ArrayDeque<TrackedRequest> requests() {
        return requests;
    }

    TrackedRequest first() {
        return requests.peekFirst();
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Returns the time before which no request begins, as an attempt may still be running. */
    double blockedUntil() {
        return blockedUntil;
    }

    void blockUntil(double time) {
        blockedUntil = Math.max(blockedUntil, time);
    }

    /** Returns whether no wakeup was scheduled yet for when the key is unblocked, and notes one. */
    boolean needsWakeup() {
        boolean needed = wakeupAt != blockedUntil;
        wakeupAt = blockedUntil;
        return needed;
    }
}
