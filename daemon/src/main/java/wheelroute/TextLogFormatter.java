package wheelroute;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.LocalDate;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats each log record as one line of text with its time in UTC, followed by the stack trace of
 * its exception, if any.
 *
 * <p>The runtime's own formatter would load a locale's data at every start.
 */
public final class TextLogFormatter extends Formatter {
    private static final long DAY_MILLIS = 86_400_000;
    private static final int HOUR_MILLIS = 3_600_000;
    private static final int MINUTE_MILLIS = 60_000;
    private static final int SECOND_MILLIS = 1000;

    @Override
    public String format(LogRecord logRecord) {
        long millis = logRecord.getMillis();
        int millisOfDay = (int) Math.floorMod(millis, DAY_MILLIS);
        StringBuilder line = new StringBuilder();
        line.append(LocalDate.ofEpochDay(Math.floorDiv(millis, DAY_MILLIS)));
        appendPadded(line, ' ', millisOfDay / HOUR_MILLIS, 2);
        appendPadded(line, ':', millisOfDay % HOUR_MILLIS / MINUTE_MILLIS, 2);
        appendPadded(line, ':', millisOfDay % MINUTE_MILLIS / SECOND_MILLIS, 2);
        appendPadded(line, '.', millisOfDay % SECOND_MILLIS, 3);
        line.append("Z ")
                .append(logRecord.getLevel().getName())
                .append(' ')
                .append(logRecord.getLoggerName());
        line.append(": ").append(formatMessage(logRecord)).append('\n');
        if (logRecord.getThrown() != null) {
            StringWriter trace = new StringWriter();
            logRecord.getThrown().printStackTrace(new PrintWriter(trace, true));
            line.append(trace);
        }
        return line.toString();
    }

    private static void appendPadded(StringBuilder line, char separator, int value, int digits) {
        String text = Integer.toString(value);
        line.append(separator).append("0".repeat(digits - text.length())).append(text);
    }
}
