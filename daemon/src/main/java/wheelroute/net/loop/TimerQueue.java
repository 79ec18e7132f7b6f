package wheelroute.net.loop;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The timers of one event loop, ordered by their due times, then by their creation. Used on the
 * event loop's thread only.
 */
final class TimerQueue {
    /** The number of cancelled timers from which on it is worth while to look for them. */
    private static final int MIN_CANCELLED = 64;

    private final Clock clock;
    private final PriorityQueue<EventLoop.Timer> timers =
            new PriorityQueue<>(
                    Comparator.comparingDouble((EventLoop.Timer timer) -> timer.dueAt)
                            .thenComparingLong(timer -> timer.sequenceNumber));
    private long lastSequenceNumber;

    /** The number of queued timers that have been cancelled. */
    private int cancelled;

    TimerQueue(Clock clock) {
        this.clock = clock;
    }

    EventLoop.Timer schedule(double delaySeconds, Runnable task) {
        EventLoop.Timer timer =
                new EventLoop.Timer(this, clock.now() + delaySeconds, ++lastSequenceNumber, task);
        timers.add(timer);
        return timer;
    }

    /**
     * Removes the cancelled timers once they are the greater part. A client may cause thousands of
     * timers a second that are cancelled at once but would be due much later.
     */
    void onCancelled() {
        cancelled++;
        if (cancelled >= MIN_CANCELLED && cancelled > timers.size() / 2) {
            timers.removeIf(timer -> timer.task == null);
            cancelled = 0;
        }
    }

    /** Returns the number of queued timers, including cancelled ones. */
    int size() {
        return timers.size();
    }

    /**
     * Runs all due timers. Returns the seconds until the next timer is due, or infinity if there is
     * none.
     */
    double runDue() {
        while (!timers.isEmpty()) {
            EventLoop.Timer first = timers.peek();
            double secondsLeft = first.task == null ? 0 : first.dueAt - clock.now();
            if (secondsLeft > 0) {
                return secondsLeft;
            }
            timers.poll();
            Runnable task = first.task;
            first.task = null;
            if (task == null) {
                cancelled--;
            } else {
                EventLoop.runAndLogException(task);
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
