package wheelroute.net.loop;

import java.util.Comparator;
import java.util.PriorityQueue;

/** The timers of one event loop, in the order of their due times, then of their creation. */
final class TimerQueue {
    private final Clock clock;
    private final PriorityQueue<EventLoop.Timer> timers =
            new PriorityQueue<>(
                    Comparator.comparingDouble((EventLoop.Timer timer) -> timer.due)
                            .thenComparingLong(timer -> timer.number));
    private long lastNumber;

    TimerQueue(Clock clock) {
        this.clock = clock;
    }

    EventLoop.Timer schedule(double delay, Runnable task) {
        EventLoop.Timer timer = new EventLoop.Timer(clock.now() + delay, ++lastNumber, task);
        timers.add(timer);
        return timer;
    }

    /** Runs all that is due; returns the seconds until the next timer, or infinity for none. */
    double runDue() {
        while (!timers.isEmpty()) {
            EventLoop.Timer first = timers.peek();
            double left = first.task == null ? 0 : first.due - clock.now();
            if (left > 0) {
                return left;
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
