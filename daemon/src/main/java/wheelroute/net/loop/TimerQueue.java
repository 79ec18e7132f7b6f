package wheelroute.net.loop;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The timers of one event loop, ordered by their due times, then by their creation. Used on the
 * event loop's thread only.
 */
final class TimerQueue {
    private final Clock clock;
    private final PriorityQueue<EventLoop.Timer> timers =
            new PriorityQueue<>(
                    Comparator.comparingDouble((EventLoop.Timer timer) -> timer.dueAt)
                            .thenComparingLong(timer -> timer.sequenceNumber));
    private long lastSequenceNumber;

    TimerQueue(Clock clock) {
        this.clock = clock;
    }

    EventLoop.Timer schedule(double delaySeconds, Runnable task) {
        EventLoop.Timer timer =
                new EventLoop.Timer(clock.now() + delaySeconds, ++lastSequenceNumber, task);
        timers.add(timer);
        return timer;
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
            if (task != null) {
                EventLoop.runAndLogException(task);
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
