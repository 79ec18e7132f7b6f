package wheelroute.net.metrics;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheelroute.decision.Ids;
import wheelroute.net.workers.AttemptResult;

/**
 * The counters of one process, and their Prometheus text format. Operators' dashboards read the
 * names and labels of the metrics, so these must not change. Confined to the event loop's thread.
 */
public final class Counters {
    /**
     * The counters that are not split by request class. Several counters with the same metric name
     * are distinguished by their labels.
     */
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
        DISCOVERY_REJECTIONS("list_rejections_total", ""),
        /** Requests that repeat one of which an attempt may have run. */
        REPEATS("repeats_total", ""),
        /** Requests that were not accepted because the one which they repeat is open. */
        REPEATS_OF_OPEN_REQUESTS("repeats_of_open_total", ""),
        ATTEMPT_HISTORY_REJECTIONS("attempt_history_rejections_total", "");

        private final String name;
        private final String label;

        Counter(String name, String label) {
            this.name = name;
            this.label = label;
        }
    }

    /** The kinds of final responses, which are counted per request class. */
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
     * The numbers of final responses by request class and {@link FinalAnswer}. All classes are
     * present from the start, because dashboards do not read a missing metric as 0.
     */
    private final Map<Ids.RequestClass, long[]> answers = new LinkedHashMap<>();

    /** Creates counters with value 0 for these request classes. */
    public Counters(List<Ids.RequestClass> requestClasses) {
        for (Ids.RequestClass requestClass : requestClasses) {
            answers.put(requestClass, new long[FinalAnswer.values().length]);
        }
    }

    /** Adds 1 to a counter. */
    public void count(Counter counter) {
        counts[counter.ordinal()]++;
    }

    /** Adds 1 to the number of attempts with this result. */
    public void count(AttemptResult result) {
        attemptResults[result.ordinal()]++;
    }

    /**
     * Adds 1 to the number of final responses of this kind; the request class must be one of {@link
     * #requestClasses}.
     */
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

    /**
     * Returns the number of final responses of a kind; the request class must be one of {@link
     * #requestClasses}.
     */
    public long value(Ids.RequestClass requestClass, FinalAnswer answer) {
        return answers.get(requestClass)[answer.ordinal()];
    }

    /** Returns all metrics in the Prometheus text format. */
    public String toPrometheusText(Gauges gauges) {
        StringBuilder out = new StringBuilder();
        appendCounters(out);
        appendAnswers(out);
        appendAttemptResults(out);
        appendGauges(out, gauges);
        return out.toString();
    }

    private void appendCounters(StringBuilder out) {
        String previousName = "";
        for (Counter counter : Counter.values()) {
            if (!counter.name.equals(previousName)) {
                appendType(out, counter.name, "counter");
                previousName = counter.name;
            }
            appendSample(out, counter.name, counter.label, counts[counter.ordinal()]);
        }
    }

    private void appendAnswers(StringBuilder out) {
        appendType(out, "answers_total", "counter");
        for (FinalAnswer answer : FinalAnswer.values()) {
            long total = answers.values().stream().mapToLong(row -> row[answer.ordinal()]).sum();
            appendSample(out, "answers_total", answer.label(), total);
        }
        appendType(out, "offering_answers_total", "counter");
        answers.forEach(
                (requestClass, row) -> {
                    String label = "offering=\"" + escapeLabelValue(requestClass.name()) + "\",";
                    for (FinalAnswer answer : FinalAnswer.values()) {
                        appendSample(
                                out,
                                "offering_answers_total",
                                label + answer.label(),
                                row[answer.ordinal()]);
                    }
                });
    }

    private void appendAttemptResults(StringBuilder out) {
        appendType(out, "launch_ends_total", "counter");
        for (AttemptResult result : AttemptResult.values()) {
            String label = "end=\"" + result.metricLabel() + "\"";
            appendSample(out, "launch_ends_total", label, attemptResults[result.ordinal()]);
        }
    }

    private static void appendGauges(StringBuilder out, Gauges gauges) {
        appendGauge(out, "submissions_open", gauges.open());
        appendGauge(out, "submissions_pending", gauges.pending());
        appendType(out, "connections_open", "gauge");
        appendSample(out, "connections_open", "peer=\"client\"", gauges.clients());
        appendSample(out, "connections_open", "peer=\"worker\"", gauges.workers());
        appendGauge(out, "workers_listed", gauges.listed());
        appendGauge(out, "workers_avoided", gauges.avoided());
        appendGauge(out, "list_lease_expired", gauges.leaseExpired());
        appendGauge(out, "attempt_history_entries", gauges.rememberedRequests());
    }

    /** Escapes a label value as the Prometheus text format requires. */
    private static String escapeLabelValue(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }

    private static void appendType(StringBuilder out, String name, String type) {
        out.append("# TYPE ").append(PREFIX).append(name).append(' ').append(type).append('\n');
    }

    private static void appendGauge(StringBuilder out, String name, long value) {
        appendType(out, name, "gauge");
        appendSample(out, name, "", value);
    }

    private static void appendSample(StringBuilder out, String name, String label, long value) {
        out.append(PREFIX).append(name);
        if (!label.isEmpty()) {
            out.append('{').append(label).append('}');
        }
        out.append(' ').append(value).append('\n');
    }
}
