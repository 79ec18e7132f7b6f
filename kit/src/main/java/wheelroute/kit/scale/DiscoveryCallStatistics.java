package wheelroute.kit.scale;

import static wheelroute.units.TimeUnits.MICROS_PER_SECOND;

import org.HdrHistogram.Histogram;

/**
 * Statistics of the calls by one kind of caller since the last {@link #clear}. Used on the event
 * loop's thread.
 */
final class DiscoveryCallStatistics {
    private static final long MAX_MICROS = 3_600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram microsToInForce = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private long calls;
    private long bytes;

    void clear() {
        calls = 0;
        bytes = 0;
        microsToInForce.reset();
    }

    void onCall() {
        calls++;
    }

    void onResponse(long responseBytes) {
        bytes += responseBytes;
    }

    /** Records the time from a change until the change was in force at one caller. */
    void onInForce(double seconds) {
        microsToInForce.recordValue(Math.min(MAX_MICROS, Math.round(MICROS_PER_SECOND * seconds)));
    }

    long calls() {
        return calls;
    }

    long bytes() {
        return bytes;
    }

    /** Returns a percentile (from 0 to 100) of the times until changes were in force. */
    double secondsToInForceAtPercentile(double percentile) {
        return microsToInForce.getValueAtPercentile(percentile) / MICROS_PER_SECOND;
    }

    /** Returns the longest time until a change was in force. */
    double maxSecondsToInForce() {
        return microsToInForce.getMaxValue() / MICROS_PER_SECOND;
    }
}
