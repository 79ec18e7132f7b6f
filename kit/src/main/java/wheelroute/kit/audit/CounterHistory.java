package wheelroute.kit.audit;

import java.util.ArrayDeque;

/** A number as it was over the last few seconds. */
final class CounterHistory {
    private static final double KEEP = 5;

    private record Point(double at, long value) {}

    private final ArrayDeque<Point> points = new ArrayDeque<>();
    private long value;

    void add(double now, long by) {
        value += by;
        points.addLast(new Point(now, value));
        while (points.size() > 1 && points.peekFirst().at < now - KEEP) {
            points.pollFirst();
        }
    }

    long now() {
        return value;
    }

    long at(double time) {
        long was = points.isEmpty() || points.peekFirst().at > time ? first() : value;
        for (Point point : points) {
            if (point.at > time) {
                break;
            }
            was = point.value;
        }
        return was;
    }

    /** What it was before all that is still known. */
    private long first() {
        return points.isEmpty() ? value : 0;
    }

    long least(double from, double to) {
        long least = at(from);
        for (Point point : points) {
            if (point.at > from && point.at <= to) {
                least = Math.min(least, point.value);
            }
        }
        return least;
    }

    long most(double from, double to) {
        long most = at(from);
        for (Point point : points) {
            if (point.at > from && point.at <= to) {
                most = Math.max(most, point.value);
            }
        }
        return most;
    }
}
