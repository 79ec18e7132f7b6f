package wheelroute.net.admin;

import wheelroute.decision.Ids;
import wheelroute.net.Counters;
import wheelroute.net.Gauges;

/** The figures in the platform's names, a line each, in statsd's form. */
final class Figures {
    private static final String PREFIX = "app.";

    private final StringBuilder out = new StringBuilder();

    private Figures() {}

    static String of(Counters counters, Gauges now) {
        Figures figures = new Figures();
        for (Ids.Offering offering : counters.offerings()) {
            for (Counters.Answer answer : Counters.Answer.values()) {
                figures.line(
                        name(answer) + "." + plain(offering.name()),
                        counters.value(offering, answer),
                        'c');
            }
        }
        figures.line("upstream_requests", counters.value(Counters.Kind.WRITTEN), 'c');
        figures.line("pending", now.pending(), 'g');
        figures.line("members", now.listed(), 'g');
        figures.line("members_unavailable", now.avoided(), 'g');
        return figures.out.toString();
    }

    private static String name(Counters.Answer answer) {
        return switch (answer) {
            case FULFILLED -> "completed";
            case BOUNCED -> "rejected";
            case SCRAPPED -> "failed";
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
