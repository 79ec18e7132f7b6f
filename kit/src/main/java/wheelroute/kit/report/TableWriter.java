package wheelroute.kit.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import wheelroute.kit.audit.Auditor;
import wheelroute.kit.audit.Rule;

/** A run's result as text for people. */
public final class TableWriter {
    private static final double MILLIS = 1e3;

    private TableWriter() {}

    /** The report as a text of tables, for a terminal. */
    public static String text(Report report) {
        StringBuilder out = new StringBuilder();
        Report.Run run = report.run();
        out.append(
                String.format(
                        Locale.ROOT,
                        "%s, %s clock, seed %d, %s: %.0f s, %d workers, %d" + " dispatchers%n",
                        run.scenario(),
                        run.clock(),
                        run.seed(),
                        run.variant(),
                        run.seconds(),
                        run.workers(),
                        run.dispatchers()));
        if (!run.title().isEmpty()) {
            out.append(run.title()).append('\n');
        }
        out.append('\n');
        List<String[]> rows = new ArrayList<>();
        rows.add(
                new String[] {
                    "",
                    "asked",
                    "in time",
                    "late",
                    "bounced",
                    "scrapped",
                    "unanswered",
                    "left",
                    "service",
                    "p50 ms",
                    "p99 ms",
                    "p99.9 ms"
                });
        report.requestClasses().forEach(row -> rows.add(cells(row)));
        report.tenants().forEach(row -> rows.add(cells(row)));
        rows.add(cells(report.total()));
        out.append(aligned(rows)).append('\n');
        out.append(
                String.format(
                        Locale.ROOT,
                        "launches a submission: %.3f%n",
                        report.figures().get("launches_per_submission")));
        if (report.lag().p99() > 0) {
            out.append(
                    String.format(
                            Locale.ROOT,
                            "lateness of this machine: %.1f ms at p99, %.1f ms at"
                                    + " most; dispatchers waited for a core: %.1f and %.1f ms%n",
                            MILLIS * report.lag().p99(),
                            MILLIS * report.lag().max(),
                            MILLIS * report.lag().waitP99(),
                            MILLIS * report.lag().waitMax()));
        }
        report.notes().forEach(note -> out.append(note).append('\n'));
        for (Map.Entry<Rule, Integer> rule : report.breachCounts().entrySet()) {
            out.append("rule: ")
                    .append(rule.getKey().description)
                    .append(": ")
                    .append(rule.getValue() == 0 ? "kept" : "BROKEN " + rule.getValue() + " times")
                    .append('\n');
        }
        for (Auditor.Breach breach : report.breaches()) {
            out.append("  ")
                    .append(breach.rule())
                    .append(": ")
                    .append(breach.description())
                    .append('\n');
            breach.history().forEach(line -> out.append("      ").append(line).append('\n'));
        }
        report.verdicts()
                .forEach(verdict -> out.append("expected: ").append(verdict.text()).append('\n'));
        out.append(
                        switch (report.judgement()) {
                            case HOLDS -> "holds";
                            case DOES_NOT_HOLD -> "DOES NOT HOLD";
                            case NOT_JUDGED -> "NOT JUDGED: " + report.whyNotJudged();
                            case PARTIAL -> "PARTIAL: stopped before its end";
                        })
                .append('\n');
        return out.toString();
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
            millis(row.p50()),
            millis(row.p99()),
            millis(row.p999())
        };
    }

    private static String millis(double seconds) {
        return Double.isNaN(seconds) ? "-" : String.format(Locale.ROOT, "%.1f", MILLIS * seconds);
    }

    /** The first column to the left, the others to the right. */
    public static String aligned(List<String[]> rows) {
        int[] widths = new int[rows.get(0).length];
        for (String[] row : rows) {
            for (int i = 0; i < row.length; i++) {
                widths[i] = Math.max(widths[i], row[i].length());
            }
        }
        StringBuilder out = new StringBuilder();
        for (String[] row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.length; i++) {
                String pad = " ".repeat(widths[i] - row[i].length());
                line.append(i == 0 ? row[i] + pad : "  " + pad + row[i]);
            }
            out.append(line.toString().stripTrailing()).append('\n');
        }
        return out.toString();
    }
}
