package wheelroute.net;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheelroute.decision.Ids;

/**
 * What was done so far: each thing is counted here, once, and printed from here wherever it is
 * asked for.
 */
public final class Counters {
    /** One row a figure: its name, and a label where several figures share the name. */
    public enum Counter {
        REQUESTS_ACCEPTED("submissions_taken_total", ""),
        REQUESTS_NOT_ACCEPTED("messages_not_taken_total", ""),
        ATTEMPTS("launches_total", ""),
        ATTEMPTS_WRITTEN("launches_written_total", ""),
        CLIENTS_GONE("clients_gone_total", ""),
        CLIENT_CONNECTIONS("connections_total", "peer=\"client\""),
        WORKER_CONNECTIONS("connections_total", "peer=\"worker\""),
        DISCOVERY_CALLS("list_calls_total", ""),
        DISCOVERY_FAILURES("list_failures_total", "");

        private final String name;
        private final String label;

        Counter(String name, String label) {
            this.name = name;
            this.label = label;
        }
    }

    /** The final answers, counted by offering. */
    public enum FinalAnswer {
        SUCCEEDED("fulfilled"),
        REJECTED("bounced"),
        FAILED("scrapped");

        private final String metricLabel;

        FinalAnswer(String metricLabel) {
            this.metricLabel = metricLabel;
        }

        private String label() {
            return "kind=\"" + metricLabel + "\"";
        }
    }

    private static final String PREFIX = "wheelroute_";

    private final long[] kinds = new long[Counter.values().length];
    private final long[] ends = new long[AttemptResult.values().length];

    /**
     * A row from the start on for each offering: a figure that is missing is no 0 to who reads
     * them.
     */
    private final Map<Ids.RequestClass, long[]> answers = new LinkedHashMap<>();

    public Counters(List<Ids.RequestClass> offerings) {
        offerings.forEach(offering -> answers.put(offering, new long[FinalAnswer.values().length]));
    }

    public void count(Counter kind) {
        kinds[kind.ordinal()]++;
    }

    public void count(AttemptResult end) {
        ends[end.ordinal()]++;
    }

    public void count(Ids.RequestClass offering, FinalAnswer answer) {
        answers.get(offering)[answer.ordinal()]++;
    }

    public long value(Counter kind) {
        return kinds[kind.ordinal()];
    }

    public Iterable<Ids.RequestClass> offerings() {
        return answers.keySet();
    }

    public long value(Ids.RequestClass offering, FinalAnswer answer) {
        return answers.get(offering)[answer.ordinal()];
    }

    /** Prometheus text; the gauges are what is open at this moment. */
    public String text(Gauges now) {
        StringBuilder out = new StringBuilder();
        String last = "";
        for (Counter kind : Counter.values()) {
            if (!kind.name.equals(last)) {
                type(out, kind.name, "counter");
                last = kind.name;
            }
            line(out, kind.name, kind.label, kinds[kind.ordinal()]);
        }
        type(out, "answers_total", "counter");
        for (FinalAnswer answer : FinalAnswer.values()) {
            line(
                    out,
                    "answers_total",
                    answer.label(),
                    answers.values().stream().mapToLong(row -> row[answer.ordinal()]).sum());
        }
        type(out, "offering_answers_total", "counter");
        answers.forEach(
                (offering, row) -> {
                    for (FinalAnswer answer : FinalAnswer.values()) {
                        line(
                                out,
                                "offering_answers_total",
                                "offering=\"" + escaped(offering.name()) + "\"," + answer.label(),
                                row[answer.ordinal()]);
                    }
                });
        type(out, "launch_ends_total", "counter");
        for (AttemptResult end : AttemptResult.values()) {
            line(
                    out,
                    "launch_ends_total",
                    "end=\"" + end.metricLabel() + "\"",
                    ends[end.ordinal()]);
        }
        gauge(out, "submissions_open", now.open());
        gauge(out, "submissions_pending", now.pending());
        type(out, "connections_open", "gauge");
        line(out, "connections_open", "peer=\"client\"", now.clients());
        line(out, "connections_open", "peer=\"worker\"", now.workers());
        gauge(out, "workers_listed", now.listed());
        gauge(out, "workers_avoided", now.avoided());
        return out.toString();
    }

    private static String escaped(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }

    private static void type(StringBuilder out, String name, String type) {
        out.append("# TYPE ").append(PREFIX).append(name).append(' ').append(type).append('\n');
    }

    private static void gauge(StringBuilder out, String name, long value) {
        type(out, name, "gauge");
        line(out, name, "", value);
    }

    private static void line(StringBuilder out, String name, String label, long value) {
        out.append(PREFIX).append(name);
        if (!label.isEmpty()) {
            out.append('{').append(label).append('}');
        }
        out.append(' ').append(value).append('\n');
    }
}
