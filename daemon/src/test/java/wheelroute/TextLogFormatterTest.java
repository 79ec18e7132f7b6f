package wheelroute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.testng.annotations.Test;

/** Tests the formats of log records as text and as JSON. */
public class TextLogFormatterTest {
    @Test
    public void formatsTimeLevelAndLogger() {
        LogRecord logRecord = new LogRecord(Level.WARNING, "it stays");
        logRecord.setLoggerName("a.B");
        logRecord.setInstant(Instant.parse("2026-02-28T03:04:05.006Z"));
        assertEquals(
                new TextLogFormatter().format(logRecord),
                "2026-02-28 03:04:05.006Z WARNING a.B: it stays\n");
        logRecord.setThrown(new IllegalStateException("why"));
        assertTrue(new TextLogFormatter().format(logRecord).contains("IllegalStateException: why"));
    }

    /** A message with a line break stays on one line, since log collectors read line by line. */
    @Test
    public void formatsAsOneLineOfJson() {
        LogRecord logRecord = new LogRecord(Level.INFO, "it says \"a\"\nand more");
        logRecord.setLoggerName("a.B");
        logRecord.setInstant(Instant.parse("2026-02-28T03:04:05.006Z"));
        assertEquals(
                new JsonLogFormatter().format(logRecord),
                "{\"time\":\"2026-02-28T03:04:05.006Z\",\"level\":\"INFO\","
                        + "\"logger\":\"a.B\",\"message\":\"it says \\\"a\\\"\\nand more\"}\n");
        logRecord.setThrown(new IllegalStateException("why"));
        assertTrue(
                new JsonLogFormatter()
                        .format(logRecord)
                        .contains("\"trace\":\"java.lang.IllegalStateException:" + " why"));
    }
}
