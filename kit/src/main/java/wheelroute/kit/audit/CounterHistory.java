package wheelroute.kit.audit;

import java.util.ArrayDeque;

/** A number as it was over the last few seconds. */
final class CounterHistory {
    private static final double RETENTION = 5;

    private record Point(double time, long value) {}

    private final ArrayDeque<Point> points = new ArrayDeque<>();
    private long value;

    void add(double now, long by) {
        value += by;
        points.addLast(new Point(now, value));
        while (points.size() > 1 && points.peekFirst().time < now - RETENTION) {
            points.pollFirst();
        }
    }

    long current() {
        return value;
    }

    long valueAt(double time) {
        long was = points.isEmpty() || points.peekFirst().time > time ? firstValue() : value;
        for (Point point : points) {
            if (point.time > time) {
                break;
            }
            was = point.value;
        }
        return was;
    }

    /** What it was before all that is still known. */
    private long firstValue() {
        return points.isEmpty() ? value : 0;
    }

    long min(double from, double to) {
        long least = valueAt(from);
        for (Point point : points) {
            if (point.time > from && point.time <= to) {
                least = Math.min(least, point.value);
            }
        }
        return least;
    }

    long max(double from, double to) {
        long most = valueAt(from);
        for (Point point : points) {
            if (point.time > from && point.time <= to) {
                most = Math.max(most, point.value);
            }
        }
        return most;
    }
}
