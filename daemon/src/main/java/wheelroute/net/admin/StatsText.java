package wheelroute.net.admin;

import wheelroute.decision.Ids;
import wheelroute.net.metrics.Counters;
import wheelroute.net.metrics.Gauges;

/** Formats the metrics under the platform's names, one a line, in statsd's format. */
final class StatsText {
    private static final String PREFIX = "app.";
    private static final char COUNTER = 'c';
    private static final char GAUGE = 'g';

    private final StringBuilder out = new StringBuilder();

    private StatsText() {}

    /** Returns the response to the STATS command, without its last line. */
    static String of(Counters counters, Gauges gauges) {
        StatsText text = new StatsText();
        for (Ids.RequestClass requestClass : counters.requestClasses()) {
            for (Counters.FinalAnswer answer : Counters.FinalAnswer.values()) {
                text.line(
                        name(answer) + "." + sanitized(requestClass.name()),
                        counters.value(requestClass, answer),
                        COUNTER);
            }
        }
        text.line("upstream_requests", counters.value(Counters.Counter.ATTEMPTS_WRITTEN), COUNTER);
        text.line("pending", gauges.pending(), GAUGE);
        text.line("members", gauges.listed(), GAUGE);
        text.line("members_unavailable", gauges.avoided(), GAUGE);
        return text.out.toString();
    }

    private static String name(Counters.FinalAnswer answer) {
        return switch (answer) {
            case SUCCEEDED -> "completed";
            case REJECTED -> "rejected";
            case FAILED -> "failed";
        };
    }

    /** Replaces characters that may have a meaning in the format. */
    private static String sanitized(String name) {
        return name.replaceAll("[^A-Za-z0-9_-]", "_");
    }

    private void line(String name, long value, char type) {
        out.append(PREFIX)
                .append(name)
                .append(':')
                .append(value)
                .append('|')
                .append(type)
                .append('\n');
    }
}
