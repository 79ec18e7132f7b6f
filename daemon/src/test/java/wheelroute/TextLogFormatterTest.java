package wheelroute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.testng.annotations.Test;

/** What an operator reads in the log. */
public class TextLogFormatterTest {
    @Test
    public void tellsWhenAndWhere() {
        LogRecord entry = new LogRecord(Level.WARNING, "it stays");
        entry.setLoggerName("a.B");
        entry.setInstant(Instant.parse("2026-02-28T03:04:05.006Z"));
        assertEquals(
                new TextLogFormatter().format(entry),
                "2026-02-28 03:04:05.006Z WARNING a.B: it stays\n");
        entry.setThrown(new IllegalStateException("why"));
        assertTrue(new TextLogFormatter().format(entry).contains("IllegalStateException: why"));
    }

    /**
     * What a line of text would garble stays one entry: whoever gathers logs reads them line by
     * line.
     */
    @Test
    public void tellsItAsJson() {
        LogRecord entry = new LogRecord(Level.INFO, "it says \"a\"\nand more");
        entry.setLoggerName("a.B");
        entry.setInstant(Instant.parse("2026-02-28T03:04:05.006Z"));
        assertEquals(
                new JsonLogFormatter().format(entry),
                "{\"time\":\"2026-02-28T03:04:05.006Z\",\"level\":\"INFO\","
                        + "\"logger\":\"a.B\",\"message\":\"it says \\\"a\\\"\\nand more\"}\n");
        entry.setThrown(new IllegalStateException("why"));
        assertTrue(
                new JsonLogFormatter()
                        .format(entry)
                        .contains("\"trace\":\"java.lang.IllegalStateException:" + " why"));
    }
}
