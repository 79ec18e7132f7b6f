package wheelroute;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.LocalDate;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * One line an entry, in UTC. The runtime's own formatter reads a whole locale first, at every
 * start.
 */
public final class TextLogFormatter extends Formatter {
    private static final long DAY_MILLIS = 86_400_000;
    private static final int HOUR_MILLIS = 3_600_000;
    private static final int MINUTE_MILLIS = 60_000;
    private static final int SECOND_MILLIS = 1000;

    @Override
    public String format(LogRecord entry) {
        long millis = entry.getMillis();
        int ofDay = (int) Math.floorMod(millis, DAY_MILLIS);
        StringBuilder line = new StringBuilder();
        line.append(LocalDate.ofEpochDay(Math.floorDiv(millis, DAY_MILLIS)));
        part(line, ' ', ofDay / HOUR_MILLIS, 2);
        part(line, ':', ofDay % HOUR_MILLIS / MINUTE_MILLIS, 2);
        part(line, ':', ofDay % MINUTE_MILLIS / SECOND_MILLIS, 2);
        part(line, '.', ofDay % SECOND_MILLIS, 3);
        line.append("Z ")
                .append(entry.getLevel().getName())
                .append(' ')
                .append(entry.getLoggerName());
        line.append(": ").append(formatMessage(entry)).append('\n');
        if (entry.getThrown() != null) {
            StringWriter trace = new StringWriter();
            entry.getThrown().printStackTrace(new PrintWriter(trace, true));
            line.append(trace);
        }
        return line.toString();
    }

    private static void part(StringBuilder line, char before, int value, int digits) {
        String text = Integer.toString(value);
        line.append(before).append("0".repeat(digits - text.length())).append(text);
    }
}
