package wheelroute.net.loop;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The timers of one event loop, in the order of their due times, then of their creation. Only for
 * the event loop's thread.
 */
final class TimerQueue {
    private final Clock clock;
    private final PriorityQueue<EventLoop.Timer> timers =
            new PriorityQueue<>(
                    Comparator.comparingDouble((EventLoop.Timer timer) -> timer.dueAt)
                            .thenComparingLong(timer -> timer.number));
    private long lastNumber;

    TimerQueue(Clock clock) {
        this.clock = clock;
    }

    EventLoop.Timer schedule(double delaySeconds, Runnable task) {
        EventLoop.Timer timer = new EventLoop.Timer(clock.now() + delaySeconds, ++lastNumber, task);
        timers.add(timer);
        return timer;
    }

    /**
     * Runs all due timers; returns the seconds until the next one, or infinity if there is none.
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
                EventLoop.runIsolated(task);
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
