package wheelroute.kit.report;

import static wheelroute.units.TimeUnits.MILLIS_PER_SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import wheelroute.kit.audit.Auditor;
import wheelroute.kit.audit.Rule;
import wheelroute.kit.scenario.MetricNames;

/** Writes a report as plain text with tables. */
public final class TableWriter {
    private static final String[] COLUMNS = {
        "",
        "requests",
        "in time",
        "late",
        "rejected",
        "failed",
        "unanswered",
        "cancelled",
        "service",
        "p50 ms",
        "p99 ms",
        "p99.9 ms"
    };

    private final StringBuilder out = new StringBuilder();

    private TableWriter() {}

    /** Returns the report as plain text for a terminal. */
    public static String text(Report report) {
        TableWriter writer = new TableWriter();
        writer.writeRun(report.run());
        writer.writeRows(report);
        writer.writeMetrics(report);
        writer.writeRules(report);
        for (Report.Verdict verdict : report.verdicts()) {
            writer.line("expected: " + verdict.text());
        }
        writer.line(judgement(report));
        return writer.out.toString();
    }

    private void line(String line) {
        out.append(line).append('\n');
    }

    private void writeRun(Report.Run run) {
        out.append(
                String.format(
                        Locale.ROOT,
                        "%s, %s clock, seed %d, %s: %.0f s, %d workers, %d dispatchers%n",
                        run.scenario(),
                        run.clock(),
                        run.seed(),
                        run.variant(),
                        run.durationSeconds(),
                        run.workers(),
                        run.dispatchers()));
        if (!run.title().isEmpty()) {
            line(run.title());
        }
        line("");
    }

    private void writeRows(Report report) {
        List<String[]> rows = new ArrayList<>();
        rows.add(COLUMNS);
        report.requestClasses().forEach(row -> rows.add(cells(row)));
        report.tenants().forEach(row -> rows.add(cells(row)));
        rows.add(cells(report.total()));
        line(aligned(rows));
    }

    private static String[] cells(Report.Row row) {
        return new String[] {
            row.name(),
            Long.toString(row.requested()),
            Long.toString(row.inTime()),
            Long.toString(row.late()),
            Long.toString(row.rejected()),
            Long.toString(row.failed()),
            Long.toString(row.unanswered()),
            Long.toString(row.cancelled()),
            String.format(Locale.ROOT, "%.4f", row.service()),
            millis(row.p50Seconds()),
            millis(row.p99Seconds()),
            millis(row.p999Seconds())
        };
    }

    private static String millis(double seconds) {
        return Double.isNaN(seconds)
                ? "-"
                : String.format(Locale.ROOT, "%.1f", MILLIS_PER_SECOND * seconds);
    }

    private void writeMetrics(Report report) {
        double attempts = report.metrics().get(MetricNames.ATTEMPTS);
        line(String.format(Locale.ROOT, "attempts per request: %.3f", attempts));
        Report.MachineLag lag = report.lag();
        if (lag.timerP99Seconds() > 0) {
            line(
                    String.format(
                            Locale.ROOT,
                            "lag of the kit's timers: p99 %.1f ms, max %.1f ms; dispatchers'"
                                    + " wait for a core: p99 %.1f ms, max %.1f ms",
                            MILLIS_PER_SECOND * lag.timerP99Seconds(),
                            MILLIS_PER_SECOND * lag.timerMaxSeconds(),
                            MILLIS_PER_SECOND * lag.coreWaitP99Seconds(),
                            MILLIS_PER_SECOND * lag.coreWaitMaxSeconds()));
        }
        report.notes().forEach(this::line);
    }

    private void writeRules(Report report) {
        for (Map.Entry<Rule, Integer> rule : report.breachCounts().entrySet()) {
            int count = rule.getValue();
            String result = count == 0 ? "kept" : "BROKEN " + count + " times";
            line("rule: " + rule.getKey().description() + ": " + result);
        }
        for (Auditor.Breach breach : report.breaches()) {
            line("  " + breach.rule() + ": " + breach.description());
            breach.history().forEach(event -> line("      " + event));
        }
    }

    private static String judgement(Report report) {
        return switch (report.judgement()) {
            case HOLDS -> "holds";
            case DOES_NOT_HOLD -> "DOES NOT HOLD";
            case NOT_JUDGED -> "NOT JUDGED: " + report.notJudgedReason();
            case PARTIAL -> "PARTIAL: stopped before its end";
        };
    }

    /** Returns the rows as a table with the first column aligned left and the others right. */
    public static String aligned(List<String[]> rows) {
        int[] widths = new int[rows.get(0).length];
        for (String[] row : rows) {
            for (int i = 0; i < row.length; i++) {
                widths[i] = Math.max(widths[i], row[i].length());
            }
        }
        StringBuilder table = new StringBuilder();
        for (String[] row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.length; i++) {
                String padding = " ".repeat(widths[i] - row[i].length());
                line.append(i == 0 ? row[i] + padding : "  " + padding + row[i]);
            }
            table.append(line.toString().stripTrailing()).append('\n');
        }
        return table.toString();
    }
}
