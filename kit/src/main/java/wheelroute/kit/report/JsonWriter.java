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

/** Reports for machines. Times in seconds; what was not measured is null. */
public final class JsonWriter {
    /** Raised when a reader of the last version would misread the next. */
    private static final int VERSION = 2;

    private static final JsonFactory JSON = new JsonFactory();

    private JsonWriter() {}

    public static String text(List<Report> reports) {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.setPrettyPrinter(
                    new DefaultPrettyPrinter().withObjectIndenter(new DefaultIndenter("  ", "\n")));
            json.writeStartObject();
            json.writeNumberField("version", VERSION);
            json.writeArrayFieldStart("runs");
            for (Report report : reports) {
                write(json, report);
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("a text cannot be written to", e);
        }
        return out.append('\n').toString();
    }

    private static void write(JsonGenerator json, Report report) throws IOException {
        json.writeStartObject();
        Report.Run run = report.run();
        json.writeStringField("scenario", run.scenario());
        json.writeStringField("clock", run.clock());
        json.writeStringField("variant", run.variant());
        json.writeNumberField("seed", run.seed());
        number(json, "seconds", run.seconds());
        json.writeNumberField("workers", run.workers());
        json.writeNumberField("dispatchers", run.dispatchers());
        json.writeBooleanField("partial", report.partial());
        json.writeBooleanField("holds", report.holds());
        json.writeStringField("judgement", report.judgement().name().toLowerCase(Locale.ROOT));
        json.writeStringField("why_not_judged", report.whyNotJudged());
        json.writeObjectFieldStart("lag");
        number(json, "p99", report.lag().p99());
        number(json, "most", report.lag().max());
        number(json, "core_wait_p99", report.lag().waitP99());
        number(json, "core_wait_most", report.lag().waitMax());
        json.writeEndObject();
        json.writeArrayFieldStart("notes");
        for (String note : report.notes()) {
            json.writeString(note);
        }
        json.writeEndArray();
        json.writeObjectFieldStart("figures");
        for (Map.Entry<String, Double> figure : report.figures().entrySet()) {
            number(json, figure.getKey(), figure.getValue());
        }
        json.writeEndObject();
        rows(json, "offerings", report.requestClasses());
        rows(json, "tenants", report.tenants());
        rows(json, "total", List.of(report.total()));
        json.writeObjectFieldStart("rules");
        for (var rule : report.breachCounts().entrySet()) {
            json.writeNumberField(rule.getKey().name().toLowerCase(Locale.ROOT), rule.getValue());
        }
        json.writeEndObject();
        json.writeArrayFieldStart("breaches");
        for (Auditor.Breach breach : report.breaches()) {
            json.writeStartObject();
            json.writeStringField("rule", breach.rule().name().toLowerCase(Locale.ROOT));
            json.writeStringField("what", breach.description());
            json.writeArrayFieldStart("history");
            for (String line : breach.history()) {
                json.writeString(line);
            }
            json.writeEndArray();
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeArrayFieldStart("expected");
        for (Report.Verdict verdict : report.verdicts()) {
            json.writeStartObject();
            json.writeStringField("figure", verdict.figure());
            number(json, "least", verdict.min());
            number(json, "most", verdict.max());
            number(json, "value", verdict.value());
            json.writeBooleanField("holds", verdict.holds());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeObjectFieldStart("over_time");
        numbers(json, "seconds", report.series().times());
        numbers(json, "asked_per_s", report.series().requested());
        numbers(json, "launched_per_s", report.series().attempted());
        numbers(json, "service", report.series().service());
        json.writeObjectFieldStart("jobs_at_a_worker");
        for (Map.Entry<String, double[]> queue : report.series().queues().entrySet()) {
            numbers(json, queue.getKey(), queue.getValue());
        }
        json.writeEndObject();
        json.writeEndObject();
        json.writeArrayFieldStart("latency_distribution");
        for (double[] point : report.distribution()) {
            json.writeArray(point, 0, point.length);
        }
        json.writeEndArray();
        json.writeArrayFieldStart("faults");
        for (Report.Band band : report.bands()) {
            json.writeStartObject();
            json.writeStringField("kind", band.name());
            number(json, "from", band.from());
            number(json, "to", band.to());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeEndObject();
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
            number(json, "p50", row.p50());
            number(json, "p99", row.p99());
            number(json, "p999", row.p999());
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

    /** JSON has no word for infinity. */
    private static void number(JsonGenerator json, String name, double value) throws IOException {
        if (Double.isFinite(value)) {
            json.writeNumberField(name, value);
        } else {
            json.writeNullField(name);
        }
    }
}
