package wheelroute.kit.audit;

import java.util.ArrayDeque;

/** A counter and its values over the last few seconds. */
final class CounterHistory {
    private static final double RETENTION_SECONDS = 5;

    private record Point(double time, long value) {}

    private final ArrayDeque<Point> points = new ArrayDeque<>();
    private long value;

    /** The value before the oldest point that is kept. */
    private long droppedValue;

    void add(double now, long change) {
        value += change;
        points.addLast(new Point(now, value));
        while (points.size() > 1 && points.peekFirst().time < now - RETENTION_SECONDS) {
            droppedValue = points.pollFirst().value;
        }
    }

    long current() {
        return value;
    }

    /** Returns the value at a time; for a time before the oldest point, the last dropped value. */
    long valueAt(double time) {
        long last = droppedValue;
        for (Point point : points) {
            if (point.time > time) {
                break;
            }
            last = point.value;
        }
        return last;
    }

    /** Returns the minimum value within a period, including the value at its start. */
    long min(double from, double to) {
        long min = valueAt(from);
        for (Point point : points) {
            if (point.time > from && point.time <= to) {
                min = Math.min(min, point.value);
            }
        }
        return min;
    }

    /** Returns the maximum value within a period, including the value at its start. */
    long max(double from, double to) {
        long max = valueAt(from);
        for (Point point : points) {
            if (point.time > from && point.time <= to) {
                max = Math.max(max, point.value);
            }
        }
        return max;
    }
}
