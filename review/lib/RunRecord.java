import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line for each thing that was sent, answered or run. Thread-safe. */
final class RunRecord {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    RunRecord(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Returns the seconds since the start of the run, on a monotonic clock. */
    double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String who, String format, Object... values) {
        out.printf(
                Locale.ROOT, "%9.3f %-10s %s%n", now(), who, String.format(Locale.ROOT, format, values));
        out.flush();
    }
}
