package wheelroute.kit.report;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.DefaultIndenter;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import wheelroute.kit.audit.Auditor;
import wheelroute.kit.audit.Rule;

/**
 * Writes reports as JSON, for programs. Times are in seconds; what was not measured is null. With
 * {@link wheelroute.kit.audit.Rule}, the only place that knows the keys of this format.
 */
public final class JsonWriter {
    /** Raised when readers of the earlier format would misread the new one. */
    private static final int VERSION = 2;

    private static final JsonFactory JSON = new JsonFactory();

    private JsonWriter() {}

    /** Returns the reports as one JSON document. */
    public static String text(List<Report> reports) {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.setPrettyPrinter(
                    new DefaultPrettyPrinter().withObjectIndenter(new DefaultIndenter("  ", "\n")));
            json.writeStartObject();
            json.writeNumberField("version", VERSION);
            json.writeArrayFieldStart("runs");
            for (Report report : reports) {
                report(json, report);
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write to a string", e);
        }
        return out.append('\n').toString();
    }

    private static void report(JsonGenerator json, Report report) throws IOException {
        json.writeStartObject();
        run(json, report.run());
        json.writeBooleanField("partial", report.partial());
        json.writeBooleanField("holds", report.holds());
        json.writeStringField("judgement", lowerCase(report.judgement()));
        json.writeStringField("why_not_judged", report.notJudgedReason());
        lag(json, report.lag());
        strings(json, "notes", report.notes());
        json.writeObjectFieldStart("figures");
        for (Map.Entry<String, Double> figure : report.figures().entrySet()) {
            number(json, figure.getKey(), figure.getValue());
        }
        json.writeEndObject();
        rows(json, "offerings", report.requestClasses());
        rows(json, "tenants", report.tenants());
        rows(json, "total", List.of(report.total()));
        breaches(json, report);
        verdicts(json, report.verdicts());
        series(json, report.series());
        json.writeArrayFieldStart("latency_distribution");
        for (double[] point : report.distribution()) {
            json.writeArray(point, 0, point.length);
        }
        json.writeEndArray();
        faults(json, report.faultPeriods());
        json.writeEndObject();
    }

    private static void run(JsonGenerator json, Report.Run run) throws IOException {
        json.writeStringField("scenario", run.scenario());
        json.writeStringField("clock", run.clock());
        json.writeStringField("variant", run.variant());
        json.writeNumberField("seed", run.seed());
        number(json, "seconds", run.durationSeconds());
        json.writeNumberField("workers", run.workers());
        json.writeNumberField("dispatchers", run.dispatchers());
    }

    private static void lag(JsonGenerator json, Report.MachineLag lag) throws IOException {
        json.writeObjectFieldStart("lag");
        number(json, "p99", lag.timerP99Seconds());
        number(json, "most", lag.timerMaxSeconds());
        number(json, "core_wait_p99", lag.coreWaitP99Seconds());
        number(json, "core_wait_most", lag.coreWaitMaxSeconds());
        json.writeEndObject();
    }

    private static void breaches(JsonGenerator json, Report report) throws IOException {
        json.writeObjectFieldStart("rules");
        for (Map.Entry<Rule, Integer> count : report.breachCounts().entrySet()) {
            json.writeNumberField(count.getKey().key(), count.getValue());
        }
        json.writeEndObject();
        json.writeArrayFieldStart("breaches");
        for (Auditor.Breach breach : report.breaches()) {
            json.writeStartObject();
            json.writeStringField("rule", breach.rule().key());
            json.writeStringField("what", breach.description());
            strings(json, "history", breach.history());
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static void verdicts(JsonGenerator json, List<Report.Verdict> verdicts)
            throws IOException {
        json.writeArrayFieldStart("expected");
        for (Report.Verdict verdict : verdicts) {
            json.writeStartObject();
            json.writeStringField("figure", verdict.figure());
            number(json, "least", verdict.min());
            number(json, "most", verdict.max());
            number(json, "value", verdict.value());
            json.writeBooleanField("holds", verdict.holds());
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static void series(JsonGenerator json, Report.Series series) throws IOException {
        json.writeObjectFieldStart("over_time");
        numbers(json, "seconds", series.timesSeconds());
        numbers(json, "asked_per_s", series.requested());
        numbers(json, "launched_per_s", series.attempted());
        numbers(json, "service", series.service());
        json.writeObjectFieldStart("jobs_at_a_worker");
        for (Map.Entry<String, double[]> queue : series.queues().entrySet()) {
            numbers(json, queue.getKey(), queue.getValue());
        }
        json.writeEndObject();
        json.writeEndObject();
    }

    private static void faults(JsonGenerator json, List<Report.FaultPeriod> bands)
            throws IOException {
        json.writeArrayFieldStart("faults");
        for (Report.FaultPeriod band : bands) {
            json.writeStartObject();
            json.writeStringField("kind", band.kind());
            number(json, "from", band.startSeconds());
            number(json, "to", band.endSeconds());
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    /** The names of judgements are values in reports for programs. */
    private static String lowerCase(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private static void strings(JsonGenerator json, String name, List<String> values)
            throws IOException {
        json.writeArrayFieldStart(name);
        for (String value : values) {
            json.writeString(value);
        }
        json.writeEndArray();
    }

    private static void rows(JsonGenerator json, String name, List<Report.Row> rows)
            throws IOException {
        json.writeArrayFieldStart(name);
        for (Report.Row row : rows) {
            json.writeStartObject();
            json.writeStringField("name", row.name());
            json.writeNumberField("asked", row.requested());
            json.writeNumberField("in_time", row.inTime());
            json.writeNumberField("late", row.late());
            json.writeNumberField("bounced", row.rejected());
            json.writeNumberField("scrapped", row.failed());
            json.writeNumberField("unanswered", row.unanswered());
            json.writeNumberField("left", row.cancelled());
            number(json, "service", row.service());
            number(json, "p50", row.p50Seconds());
            number(json, "p99", row.p99Seconds());
            number(json, "p999", row.p999Seconds());
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static void numbers(JsonGenerator json, String name, double[] values)
            throws IOException {
        json.writeArrayFieldStart(name);
        for (double value : values) {
            if (Double.isFinite(value)) {
                json.writeNumber(value);
            } else {
                json.writeNull();
            }
        }
        json.writeEndArray();
    }

    /** Null for infinity and NaN, which JSON does not have. */
    private static void number(JsonGenerator json, String name, double value) throws IOException {
        if (Double.isFinite(value)) {
            json.writeNumberField(name, value);
        } else {
            json.writeNullField(name);
        }
    }
}
