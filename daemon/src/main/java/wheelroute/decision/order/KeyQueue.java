package wheelroute.decision.order;

import java.util.ArrayDeque;
import wheelroute.decision.Ids;
import wheelroute.decision.state.TrackedRequest;

/**
 * The requests of one key in the order of their acceptance; state only, {@link KeyQueues} decides.
 */
public final class KeyQueue {
    private final Ids.Key key;
    private final ArrayDeque<TrackedRequest> requests = new ArrayDeque<>();
    private double quietUntil = Double.NEGATIVE_INFINITY;
    private double wakeupAt;
    private boolean advancing;

    KeyQueue(Ids.Key key) {
        this.key = key;
    }

    Ids.Key key() {
        return key;
    }

    /** The first is the one whose turn it is. */
    ArrayDeque<TrackedRequest> requests() {
        return requests;
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Before then no request of the key begins: an attempt that ended may be running still. */
    double quietUntil() {
        return quietUntil;
    }

    void extendQuiet(double time) {
        quietUntil = Math.max(quietUntil, time);
    }

    /**
     * Whether a wakeup for the end of the quiet time is still to be asked for; if so it is noted.
     */
    boolean noteWakeup() {
        boolean needed = wakeupAt != quietUntil;
        wakeupAt = quietUntil;
        return needed;
    }

    /** False while the queue is being advanced already, further up the call stack. */
    boolean beginAdvance() {
        boolean free = !advancing;
        advancing = true;
        return free;
    }

    void endAdvance() {
        advancing = false;
    }
}
