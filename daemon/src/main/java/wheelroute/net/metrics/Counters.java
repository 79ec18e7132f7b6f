package wheelroute.net.metrics;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheelroute.decision.Ids;
import wheelroute.net.workers.AttemptResult;

/**
 * The counters of one process, and their text form for Prometheus. The metrics' names and labels
 * are read by operators' dashboards and do not change. Only for the event loop's thread.
 */
public final class Counters {
    /** A counter without a dimension; several counters of one metric differ by their label. */
    public enum Counter {
        REQUESTS_ACCEPTED("submissions_taken_total", ""),
        REQUESTS_NOT_ACCEPTED("messages_not_taken_total", ""),
        ATTEMPTS("launches_total", ""),
        ATTEMPTS_WRITTEN("launches_written_total", ""),
        CLIENTS_GONE("clients_gone_total", ""),
        CLIENT_CONNECTIONS("connections_total", "peer=\"client\""),
        WORKER_CONNECTIONS("connections_total", "peer=\"worker\""),
        DISCOVERY_CALLS("list_calls_total", ""),
        DISCOVERY_FAILURES("list_failures_total", ""),
        DISCOVERY_REJECTIONS("list_rejections_total", "");

        private final String name;
        private final String label;

        Counter(String name, String label) {
            this.name = name;
            this.label = label;
        }
    }

    /** The kinds of final responses, which are counted by request class. */
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

    private final long[] counts = new long[Counter.values().length];
    private final long[] attemptResults = new long[AttemptResult.values().length];

    /**
     * By request class and {@link FinalAnswer}. Contains all classes from the start, because
     * dashboards do not read a missing metric as 0.
     */
    private final Map<Ids.RequestClass, long[]> answers = new LinkedHashMap<>();

    /** Creates counters that are 0. */
    public Counters(List<Ids.RequestClass> requestClasses) {
        for (Ids.RequestClass requestClass : requestClasses) {
            answers.put(requestClass, new long[FinalAnswer.values().length]);
        }
    }

    /** Adds 1 to a counter. */
    public void count(Counter counter) {
        counts[counter.ordinal()]++;
    }

    /** Counts the result of an attempt. */
    public void count(AttemptResult result) {
        attemptResults[result.ordinal()]++;
    }

    /** Counts the final response to a request, whose class must be known. */
    public void count(Ids.RequestClass requestClass, FinalAnswer answer) {
        answers.get(requestClass)[answer.ordinal()]++;
    }

    /** Returns the value of a counter. */
    public long value(Counter counter) {
        return counts[counter.ordinal()];
    }

    /** Returns all request classes, in the order of the configuration. */
    public Iterable<Ids.RequestClass> requestClasses() {
        return answers.keySet();
    }

    /** Returns the number of final responses to requests of a class, which must be known. */
    public long value(Ids.RequestClass requestClass, FinalAnswer answer) {
        return answers.get(requestClass)[answer.ordinal()];
    }

    /** Returns all metrics in Prometheus' text format. */
    public String text(Gauges gauges) {
        StringBuilder out = new StringBuilder();
        appendCounters(out);
        appendAnswers(out);
        appendAttemptResults(out);
        appendGauges(out, gauges);
        return out.toString();
    }

    private void appendCounters(StringBuilder out) {
        String last = "";
        for (Counter counter : Counter.values()) {
            if (!counter.name.equals(last)) {
                type(out, counter.name, "counter");
                last = counter.name;
            }
            line(out, counter.name, counter.label, counts[counter.ordinal()]);
        }
    }

    private void appendAnswers(StringBuilder out) {
        type(out, "answers_total", "counter");
        for (FinalAnswer answer : FinalAnswer.values()) {
            long total = answers.values().stream().mapToLong(row -> row[answer.ordinal()]).sum();
            line(out, "answers_total", answer.label(), total);
        }
        type(out, "offering_answers_total", "counter");
        answers.forEach(
                (requestClass, row) -> {
                    String label = "offering=\"" + escaped(requestClass.name()) + "\",";
                    for (FinalAnswer answer : FinalAnswer.values()) {
                        line(
                                out,
                                "offering_answers_total",
                                label + answer.label(),
                                row[answer.ordinal()]);
                    }
                });
    }

    private void appendAttemptResults(StringBuilder out) {
        type(out, "launch_ends_total", "counter");
        for (AttemptResult result : AttemptResult.values()) {
            String label = "end=\"" + result.metricLabel() + "\"";
            line(out, "launch_ends_total", label, attemptResults[result.ordinal()]);
        }
    }

    private static void appendGauges(StringBuilder out, Gauges gauges) {
        gauge(out, "submissions_open", gauges.open());
        gauge(out, "submissions_pending", gauges.pending());
        type(out, "connections_open", "gauge");
        line(out, "connections_open", "peer=\"client\"", gauges.clients());
        line(out, "connections_open", "peer=\"worker\"", gauges.workers());
        gauge(out, "workers_listed", gauges.listed());
        gauge(out, "workers_avoided", gauges.avoided());
        gauge(out, "list_lease_expired", gauges.leaseExpired());
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
