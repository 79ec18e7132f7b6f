package wheelroute.net.requests;

import java.util.ArrayDeque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs events one at a time: the policy is not reentrant, and what it asks for may cause the next
 * event at once. Only for the event loop's thread.
 */
public final class SerialEventQueue {
    private static final Logger LOG = LoggerFactory.getLogger(SerialEventQueue.class);

    private final Runnable beforeEachEvent;
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    private boolean running;

    /**
     * Makes an empty queue.
     *
     * @param beforeEachEvent run before each event; unlike an event's, its failures propagate
     */
    SerialEventQueue(Runnable beforeEachEvent) {
        this.beforeEachEvent = beforeEachEvent;
    }

    /** Runs the event before returning, or, when called by another event, after that one. */
    public void run(Runnable event) {
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

    /** A faulty event fails alone: all other requests go on. */
    private static void runIsolated(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            LOG.warn("unexpected exception in policy event", e);
        }
    }
}
