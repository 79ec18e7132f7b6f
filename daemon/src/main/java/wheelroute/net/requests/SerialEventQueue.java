package wheelroute.net.requests;

import java.util.ArrayDeque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the policy's events one at a time, in the order in which they were submitted. The policy is
 * not reentrant, but an action that the policy decides on may cause the next event immediately.
 * That event is queued until the current one is complete. Used on the event loop's thread only.
 */
final class SerialEventQueue {
    private static final Logger LOG = LoggerFactory.getLogger(SerialEventQueue.class);

    private final Runnable beforeEachEvent;
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    private boolean running;

    /**
     * Creates an empty queue.
     *
     * @param beforeEachEvent runs before each event; exceptions of this task propagate to the
     *     caller of {@link #run}, unlike those of an event
     */
    SerialEventQueue(Runnable beforeEachEvent) {
        this.beforeEachEvent = beforeEachEvent;
    }

    /**
     * Runs an event before returning or, if called from within another event, queues the event to
     * run after that one. An exception of an event is logged.
     */
    void run(Runnable event) {
        events.add(event);
        if (running) {
            return;
        }
        running = true;
        try {
            for (Runnable next = events.poll(); next != null; next = events.poll()) {
                beforeEachEvent.run();
                runIsolated(next);
            }
        } finally {
            running = false;
        }
    }

    /** Runs an event whose exception, if any, must not affect the events of other requests. */
    private static void runIsolated(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            LOG.warn("unexpected exception in policy event", e);
        }
    }
}
