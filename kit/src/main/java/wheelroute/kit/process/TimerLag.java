package wheelroute.kit.process;

import static wheelroute.units.TimeUnits.MICROS_PER_SECOND;

import org.HdrHistogram.Histogram;
import wheelroute.net.loop.EventLoop;

/** Measures how late an event loop runs its timers. Used on the event loop's thread. */
final class TimerLag {
    private static final double INTERVAL_SECONDS = 0.01;
    private static final long MAX_MICROS = 600_000_000;

    private final EventLoop loop;
    private final Histogram micros = new Histogram(MAX_MICROS, 3);

    TimerLag(EventLoop loop) {
        this.loop = loop;
    }

    /** Starts to measure, for as long as the loop runs. */
    void start() {
        measureAt(loop.now() + INTERVAL_SECONDS);
    }

    private void measureAt(double due) {
        loop.schedule(
                due - loop.now(),
                () -> {
                    double lag = Math.max(0, MICROS_PER_SECOND * (loop.now() - due));
                    micros.recordValue((long) Math.min(MAX_MICROS, lag));
                    measureAt(loop.now() + INTERVAL_SECONDS);
                });
    }

    /** Returns the 99th percentile in seconds. */
    double p99() {
        return micros.getValueAtPercentile(99) / MICROS_PER_SECOND;
    }

    /** Returns the maximum in seconds. */
    double max() {
        return micros.getMaxValue() / MICROS_PER_SECOND;
    }
}
