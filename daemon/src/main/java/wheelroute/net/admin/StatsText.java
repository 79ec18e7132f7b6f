package wheelroute.net.admin;

import wheelroute.decision.Ids;
import wheelroute.net.metrics.Counters;
import wheelroute.net.metrics.Gauges;

/**
 * Formats the metrics in the statsd format with the names that the platform prescribes, one metric
 * per line.
 */
final class StatsText {
    private static final String PREFIX = "app.";
    private static final char COUNTER = 'c';
    private static final char GAUGE = 'g';

    private final StringBuilder out = new StringBuilder();

    private StatsText() {}

    /** Returns the response to the STATS command, without the last line, which marks its end. */
    static String of(Counters counters, Gauges gauges) {
        StatsText text = new StatsText();
        for (Ids.RequestClass requestClass : counters.requestClasses()) {
            for (Counters.FinalAnswer answer : Counters.FinalAnswer.values()) {
                text.appendLine(
                        name(answer) + "." + sanitize(requestClass.name()),
                        counters.value(requestClass, answer),
                        COUNTER);
            }
        }
        text.appendLine(
                "upstream_requests", counters.value(Counters.Counter.ATTEMPTS_WRITTEN), COUNTER);
        text.appendLine("pending", gauges.pending(), GAUGE);
        text.appendLine("members", gauges.listed(), GAUGE);
        text.appendLine("members_unavailable", gauges.avoided(), GAUGE);
        return text.out.toString();
    }

    private static String name(Counters.FinalAnswer answer) {
        return switch (answer) {
            case SUCCEEDED -> "completed";
            case REJECTED -> "rejected";
            case FAILED -> "failed";
        };
    }

    /** Replaces characters that may have a special meaning in the statsd format. */
    private static String sanitize(String name) {
        return name.replaceAll("[^A-Za-z0-9_-]", "_");
    }

    private void appendLine(String name, long value, char type) {
        out.append(PREFIX)
                .append(name)
                .append(':')
                .append(value)
                .append('|')
                .append(type)
                .append('\n');
    }
}
