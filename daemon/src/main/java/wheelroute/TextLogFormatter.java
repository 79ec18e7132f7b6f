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
 * <p>The runtime's own formatter is not used because it loads locale data, which slows down
 * startup.
 */
public final class TextLogFormatter extends Formatter {
    private static final long MILLIS_PER_DAY = 86_400_000;
    private static final int MILLIS_PER_HOUR = 3_600_000;
    private static final int MILLIS_PER_MINUTE = 60_000;
    private static final int MILLIS_PER_SECOND = 1000;

    @Override
    public String format(LogRecord logRecord) {
        long millis = logRecord.getMillis();
        int millisOfDay = (int) Math.floorMod(millis, MILLIS_PER_DAY);
        StringBuilder line = new StringBuilder();
        line.append(LocalDate.ofEpochDay(Math.floorDiv(millis, MILLIS_PER_DAY)));
        appendPadded(line, ' ', millisOfDay / MILLIS_PER_HOUR, 2);
        appendPadded(line, ':', millisOfDay % MILLIS_PER_HOUR / MILLIS_PER_MINUTE, 2);
        appendPadded(line, ':', millisOfDay % MILLIS_PER_MINUTE / MILLIS_PER_SECOND, 2);
        appendPadded(line, '.', millisOfDay % MILLIS_PER_SECOND, 3);
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
