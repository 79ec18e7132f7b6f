package wheelroute;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** One JSON object an entry, for whoever gathers logs: time in UTC, level, who says it, what. */
public final class JsonLogFormatter extends Formatter {
    private static final JsonFactory JSON = new JsonFactory();

    @Override
    public String format(LogRecord entry) {
        StringWriter line = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(line)) {
            json.writeStartObject();
            json.writeStringField("time", entry.getInstant().toString());
            json.writeStringField("level", entry.getLevel().getName());
            json.writeStringField("logger", entry.getLoggerName());
            json.writeStringField("message", formatMessage(entry));
            if (entry.getThrown() != null) {
                StringWriter trace = new StringWriter();
                entry.getThrown().printStackTrace(new PrintWriter(trace, true));
                json.writeStringField("trace", trace.toString());
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("a text cannot be written to", e);
        }
        return line.append('\n').toString();
    }
}
