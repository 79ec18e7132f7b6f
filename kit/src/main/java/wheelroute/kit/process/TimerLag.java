package wheelroute.kit.process;

import static wheelroute.units.TimeUnits.MICROS_PER_SECOND;

import org.HdrHistogram.Histogram;
import wheelroute.net.loop.EventLoop;

/** Measures how late an event loop runs its timers. Used on the event loop's thread. */
final class TimerLag {
    private static final double INTERVAL_SECONDS = 0.01;
    private static final long MAX_MICROS = 600_000_000;

    private final EventLoop loop;
    private final Histogram lagMicros = new Histogram(MAX_MICROS, 3);

    TimerLag(EventLoop loop) {
        this.loop = loop;
    }

    /** Starts to measure. The measurement continues until the event loop stops. */
    void start() {
        scheduleMeasurement(loop.now() + INTERVAL_SECONDS);
    }

    private void scheduleMeasurement(double dueAt) {
        loop.schedule(
                dueAt - loop.now(),
                () -> {
                    double lag = Math.max(0, MICROS_PER_SECOND * (loop.now() - dueAt));
                    lagMicros.recordValue((long) Math.min(MAX_MICROS, lag));
                    scheduleMeasurement(loop.now() + INTERVAL_SECONDS);
                });
    }

    /** Returns the 99th percentile of the lag in seconds. */
    double p99() {
        return lagMicros.getValueAtPercentile(99) / MICROS_PER_SECOND;
    }

    /** Returns the maximum lag in seconds. */
    double max() {
        return lagMicros.getMaxValue() / MICROS_PER_SECOND;
    }
}
