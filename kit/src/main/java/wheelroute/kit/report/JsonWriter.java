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
 * Writes reports as JSON, for programs. Times are in seconds, and values that were not measured are
 * null. Only this class and {@link wheelroute.kit.audit.Rule} define keys of this format.
 */
public final class JsonWriter {
    /**
     * The version of the format, raised if readers of the previous format would misread the new.
     */
    private static final int FORMAT_VERSION = 2;

    private static final JsonFactory JSON = new JsonFactory();

    private JsonWriter() {}

    /** Returns the reports as one JSON document. */
    public static String text(List<Report> reports) {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.setPrettyPrinter(
                    new DefaultPrettyPrinter().withObjectIndenter(new DefaultIndenter("  ", "\n")));
            json.writeStartObject();
            json.writeNumberField("version", FORMAT_VERSION);
            json.writeArrayFieldStart("runs");
            for (Report report : reports) {
                writeReport(json, report);
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write to a string", e);
        }
        return out.append('\n').toString();
    }

    private static void writeReport(JsonGenerator json, Report report) throws IOException {
        json.writeStartObject();
        writeRun(json, report.run());
        json.writeBooleanField("partial", report.partial());
        json.writeBooleanField("holds", report.holds());
        json.writeStringField("judgement", lowerCase(report.judgement()));
        json.writeStringField("why_not_judged", report.notJudgedReason());
        writeLag(json, report.lag());
        writeStrings(json, "notes", report.notes());
        json.writeObjectFieldStart("figures");
        for (Map.Entry<String, Double> metric : report.metrics().entrySet()) {
            writeNumber(json, metric.getKey(), metric.getValue());
        }
        json.writeEndObject();
        writeRows(json, "offerings", report.requestClasses());
        writeRows(json, "tenants", report.tenants());
        writeRows(json, "total", List.of(report.total()));
        writeBreaches(json, report);
        writeVerdicts(json, report.verdicts());
        writeSeries(json, report.series());
        json.writeArrayFieldStart("latency_distribution");
        for (double[] point : report.distribution()) {
            json.writeArray(point, 0, point.length);
        }
        json.writeEndArray();
        writeFaults(json, report.faultPeriods());
        json.writeEndObject();
    }

    private static void writeRun(JsonGenerator json, Report.Run run) throws IOException {
        json.writeStringField("scenario", run.scenario());
        json.writeStringField("clock", run.clock());
        json.writeStringField("variant", run.variant());
        json.writeNumberField("seed", run.seed());
        writeNumber(json, "seconds", run.durationSeconds());
        json.writeNumberField("workers", run.workers());
        json.writeNumberField("dispatchers", run.dispatchers());
    }

    private static void writeLag(JsonGenerator json, Report.MachineLag lag) throws IOException {
        json.writeObjectFieldStart("lag");
        writeNumber(json, "p99", lag.timerP99Seconds());
        writeNumber(json, "most", lag.timerMaxSeconds());
        writeNumber(json, "core_wait_p99", lag.coreWaitP99Seconds());
        writeNumber(json, "core_wait_most", lag.coreWaitMaxSeconds());
        json.writeEndObject();
    }

    private static void writeBreaches(JsonGenerator json, Report report) throws IOException {
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
            writeStrings(json, "history", breach.history());
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static void writeVerdicts(JsonGenerator json, List<Report.Verdict> verdicts)
            throws IOException {
        json.writeArrayFieldStart("expected");
        for (Report.Verdict verdict : verdicts) {
            json.writeStartObject();
            json.writeStringField("figure", verdict.metric());
            writeNumber(json, "least", verdict.min());
            writeNumber(json, "most", verdict.max());
            writeNumber(json, "value", verdict.value());
            json.writeBooleanField("holds", verdict.holds());
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static void writeSeries(JsonGenerator json, Report.Series series) throws IOException {
        json.writeObjectFieldStart("over_time");
        writeNumbers(json, "seconds", series.timesSeconds());
        writeNumbers(json, "asked_per_s", series.requested());
        writeNumbers(json, "launched_per_s", series.attempted());
        writeNumbers(json, "service", series.service());
        json.writeObjectFieldStart("jobs_at_a_worker");
        for (Map.Entry<String, double[]> queue : series.queues().entrySet()) {
            writeNumbers(json, queue.getKey(), queue.getValue());
        }
        json.writeEndObject();
        json.writeEndObject();
    }

    private static void writeFaults(JsonGenerator json, List<Report.FaultPeriod> periods)
            throws IOException {
        json.writeArrayFieldStart("faults");
        for (Report.FaultPeriod period : periods) {
            json.writeStartObject();
            json.writeStringField("kind", period.kind());
            writeNumber(json, "from", period.startSeconds());
            writeNumber(json, "to", period.endSeconds());
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    /** Returns the name of a constant in lower case, which is its value in the JSON. */
    private static String lowerCase(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private static void writeStrings(JsonGenerator json, String name, List<String> values)
            throws IOException {
        json.writeArrayFieldStart(name);
        for (String value : values) {
            json.writeString(value);
        }
        json.writeEndArray();
    }

    private static void writeRows(JsonGenerator json, String name, List<Report.Row> rows)
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
            writeNumber(json, "service", row.service());
            writeNumber(json, "p50", row.p50Seconds());
            writeNumber(json, "p99", row.p99Seconds());
            writeNumber(json, "p999", row.p999Seconds());
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static void writeNumbers(JsonGenerator json, String name, double[] values)
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

    /** Writes a number, or null for infinity and NaN, which JSON cannot represent. */
    private static void writeNumber(JsonGenerator json, String name, double value)
            throws IOException {
        if (Double.isFinite(value)) {
            json.writeNumberField(name, value);
        } else {
            json.writeNullField(name);
        }
    }
}
