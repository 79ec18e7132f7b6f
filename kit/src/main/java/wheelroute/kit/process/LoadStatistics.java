package wheelroute.kit.process;

import static wheelroute.units.TimeUnits.MICROS_PER_SECOND;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import wheelroute.kit.model.FinalResponse;

/**
 * Counts the requests of a load by their results and records latencies. Used on the event loop's
 * thread.
 */
final class LoadStatistics {
    private static final double MICROS_PER_MILLI = 1e3;
    private static final long MAX_MICROS = 3_600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Map<FinalResponse, Long> responses = new EnumMap<>(FinalResponse.class);
    private final Histogram latencyMicros = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private int sent;
    private long refused;
    private long lost;
    private long timedOut;

    /** Counts a request and returns its number; the first is 0. */
    int onSent() {
        return sent++;
    }

    /**
     * Records a response.
     *
     * @param latencySeconds time from the scheduled time of the request to the response
     */
    void onResponse(FinalResponse response, double latencySeconds) {
        responses.merge(response, 1L, Long::sum);
        latencyMicros.recordValue(
                Math.min(MAX_MICROS, Math.round(MICROS_PER_SECOND * Math.max(0, latencySeconds))));
    }

    void onRefused() {
        refused++;
    }

    void onConnectionLost() {
        lost++;
    }

    void onTimeout() {
        timedOut++;
    }

    int sent() {
        return sent;
    }

    long succeeded() {
        return count(FinalResponse.SUCCEEDED);
    }

    private long count(FinalResponse response) {
        return responses.getOrDefault(response, 0L);
    }

    /**
     * Returns the statistics as lines of text.
     *
     * @param seconds period during which the requests were sent
     * @param inFlight number of requests that have not ended
     * @param isClosedLoop whether to add latencies corrected for coordinated omission, that is for
     *     requests that were not sent while earlier ones waited
     */
    String text(double seconds, int inFlight, boolean isClosedLoop) {
        List<String> lines = new ArrayList<>();
        lines.add(
                String.format(
                        Locale.ROOT,
                        "%d requests sent in %.1f s, %.0f/s",
                        sent,
                        seconds,
                        sent / seconds));
        for (FinalResponse response : FinalResponse.values()) {
            lines.add(response.label() + ": " + count(response));
        }
        lines.add(
                "connections refused: "
                        + refused
                        + ", connections lost: "
                        + lost
                        + ", timed out: "
                        + timedOut
                        + ", in flight: "
                        + inFlight);
        lines.add("latency, ms: " + percentiles(latencyMicros));
        if (isClosedLoop && latencyMicros.getTotalCount() > 0) {
            lines.add(
                    "latency corrected for coordinated omission, ms: "
                            + percentiles(correctedLatencyMicros()));
        }
        return String.join("\n", lines);
    }

    /**
     * Returns the latencies corrected for coordinated omission, with the median latency as the
     * expected interval between the requests of a connection.
     */
    private Histogram correctedLatencyMicros() {
        return latencyMicros.copyCorrectedForCoordinatedOmission(
                Math.max(1, latencyMicros.getValueAtPercentile(50)));
    }

    private static String percentiles(Histogram micros) {
        if (micros.getTotalCount() == 0) {
            return "none";
        }
        return String.format(
                Locale.ROOT,
                "p50 %.2f  p90 %.2f  p99 %.2f  p99.9 %.2f  max %.2f",
                micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(90) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(99) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(99.9) / MICROS_PER_MILLI,
                micros.getMaxValue() / MICROS_PER_MILLI);
    }
}
