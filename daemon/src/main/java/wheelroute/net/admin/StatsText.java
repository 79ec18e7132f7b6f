package wheelroute.net.admin;

import wheelroute.decision.Ids;
import wheelroute.net.Counters;
import wheelroute.net.Gauges;

/** The figures in the platform's names, a line each, in statsd's form. */
final class StatsText {
    private static final String PREFIX = "app.";

    private final StringBuilder out = new StringBuilder();

    private StatsText() {}

    static String of(Counters counters, Gauges now) {
        StatsText figures = new StatsText();
        for (Ids.RequestClass offering : counters.offerings()) {
            for (Counters.FinalAnswer answer : Counters.FinalAnswer.values()) {
                figures.line(
                        name(answer) + "." + plain(offering.name()),
                        counters.value(offering, answer),
                        'c');
            }
        }
        figures.line("upstream_requests", counters.value(Counters.Counter.ATTEMPTS_WRITTEN), 'c');
        figures.line("pending", now.pending(), 'g');
        figures.line("members", now.listed(), 'g');
        figures.line("members_unavailable", now.avoided(), 'g');
        return figures.out.toString();
    }

    private static String name(Counters.FinalAnswer answer) {
        return switch (answer) {
            case SUCCEEDED -> "completed";
            case REJECTED -> "rejected";
            case FAILED -> "failed";
        };
    }

    /** The form's own signs, and whatever may be taken for one, must not come from a name. */
    private static String plain(String name) {
        return name.replaceAll("[^A-Za-z0-9_-]", "_");
    }

    private void line(String name, long value, char kind) {
        out.append(PREFIX)
                .append(name)
                .append(':')
                .append(value)
                .append('|')
                .append(kind)
                .append('\n');
    }
}
