package wheelroute.net.requests;

import java.util.ArrayDeque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the policy's events one at a time, in the order in which they were submitted. The policy is
 * not reentrant, but carrying out one of its actions may cause the next event immediately; that
 * event is queued until the current one is complete. Only for the event loop's thread.
 */
final class SerialEventQueue {
    private static final Logger LOG = LoggerFactory.getLogger(SerialEventQueue.class);

    private final Runnable beforeEachEvent;
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    private boolean running;

    /**
     * Creates an empty queue.
     *
     * @param beforeEachEvent runs before each event; unlike those of an event, its exceptions
     *     propagate to the caller of {@link #run}
     */
    SerialEventQueue(Runnable beforeEachEvent) {
        this.beforeEachEvent = beforeEachEvent;
    }

    /**
     * Runs the event before returning or, if called from within another event, queues it to run
     * after that one. An exception of the event is logged.
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

    /** Runs an event; its failure must not affect the events of other requests. */
    private static void runIsolated(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            LOG.warn("unexpected exception in policy event", e);
        }
    }
}
