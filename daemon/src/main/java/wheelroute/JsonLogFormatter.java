package wheelroute;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats each log record as one line with a JSON object, for log collectors.
 *
 * <p>The fields are {@code time} (in UTC), {@code level}, {@code logger} and {@code message}. A
 * record with an exception also has {@code trace}, the stack trace.
 */
public final class JsonLogFormatter extends Formatter {
    private static final JsonFactory JSON = new JsonFactory();

    @Override
    public String format(LogRecord logRecord) {
        StringWriter line = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(line)) {
            json.writeStartObject();
            json.writeStringField("time", logRecord.getInstant().toString());
            json.writeStringField("level", logRecord.getLevel().getName());
            json.writeStringField("logger", logRecord.getLoggerName());
            json.writeStringField("message", formatMessage(logRecord));
            if (logRecord.getThrown() != null) {
                StringWriter trace = new StringWriter();
                logRecord.getThrown().printStackTrace(new PrintWriter(trace, true));
                json.writeStringField("trace", trace.toString());
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write to a string", e);
        }
        return line.append('\n').toString();
    }
}
