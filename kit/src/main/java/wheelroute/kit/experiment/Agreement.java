package wheelroute.kit.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import wheelroute.kit.report.JsonWriter;
import wheelroute.kit.report.Report;
import wheelroute.kit.report.TableWriter;
import wheelroute.kit.scenario.MetricNames;

/**
 * The comparison of two sets of runs, which are repetitions with the same seeds or runs on the two
 * clocks.
 */
public final class Agreement {
    /** The allowed difference in service between two repetitions on the real clock. */
    private static final double MAX_REPETITION_DIFFERENCE = 0.005;

    /** The allowed difference in the mean service of a request class between the two clocks. */
    private static final double MAX_CLOCK_DIFFERENCE = 0.03;

    private final List<String[]> rows = new ArrayList<>();
    private final String title;
    private boolean holds = true;

    private Agreement(String title, String first, String second) {
        this.title = title;
        rows.add(new String[] {"", "figure", first, second, "difference", "allowed"});
    }

    /**
     * Compares repetitions. On the virtual clock the reports must be identical; on the real clock
     * the service may differ by {@link #MAX_REPETITION_DIFFERENCE}.
     */
    public static Agreement ofRepetitions(List<Report> firstRuns, List<Report> secondRuns) {
        Agreement agreement = new Agreement("the same seed twice", "first", "second");
        for (int i = 0; i < Math.min(firstRuns.size(), secondRuns.size()); i++) {
            Report first = firstRuns.get(i);
            Report second = secondRuns.get(i);
            if (first.run().clock().equals(Plan.Clock.VIRTUAL.label())) {
                agreement.compareReports(first, second);
            } else {
                agreement.compare(
                        runLabel(first),
                        MetricNames.SERVICE,
                        first.metrics().get(MetricNames.SERVICE),
                        second.metrics().get(MetricNames.SERVICE),
                        MAX_REPETITION_DIFFERENCE);
            }
        }
        return agreement;
    }

    private static String runLabel(Report report) {
        return report.run().scenario() + " " + report.run().seed() + " " + report.run().variant();
    }

    private void compareReports(Report first, Report second) {
        boolean isSame = JsonWriter.text(List.of(first)).equals(JsonWriter.text(List.of(second)));
        holds &= isSame;
        String difference = isSame ? "none" : "SOME";
        rows.add(new String[] {runLabel(first), "whole report", "", "", difference, "none"});
    }

    /**
     * Compares the mean service of each request class over the seeds on the two clocks. Means are
     * compared because single runs differ widely where all queues are full.
     */
    public static Agreement ofClocks(List<Report> virtual, List<Report> real) {
        Agreement agreement = new Agreement("the two clocks", "virtual", "real");
        Map<String, List<Integer>> indicesByName = new LinkedHashMap<>();
        for (int i = 0; i < Math.min(virtual.size(), real.size()); i++) {
            Report.Run run = virtual.get(i).run();
            String name = run.scenario() + " " + run.variant();
            indicesByName.computeIfAbsent(name, key -> new ArrayList<>()).add(i);
        }
        indicesByName.forEach(
                (name, indices) -> agreement.compareMeans(name, indices, virtual, real));
        return agreement;
    }

    private void compareMeans(
            String name, List<Integer> indices, List<Report> virtual, List<Report> real) {
        for (String metric : virtual.get(indices.get(0)).metrics().keySet()) {
            if (metric.startsWith(MetricNames.REQUEST_CLASS)) {
                compare(
                        name + ", " + indices.size() + " seeds",
                        metric,
                        mean(virtual, indices, metric),
                        mean(real, indices, metric),
                        MAX_CLOCK_DIFFERENCE);
            }
        }
    }

    private static double mean(List<Report> reports, List<Integer> indices, String metric) {
        return indices.stream()
                .mapToDouble(i -> reports.get(i).metrics().get(metric))
                .average()
                .orElseThrow();
    }

    private void compare(String name, String metric, double first, double second, double allowed) {
        double difference = Math.abs(first - second);
        boolean isAllowed = difference <= allowed;
        holds &= isAllowed;
        rows.add(
                new String[] {
                    name,
                    metric,
                    String.format(Locale.ROOT, "%.4f", first),
                    String.format(Locale.ROOT, "%.4f", second),
                    String.format(Locale.ROOT, "%.4f", difference) + (isAllowed ? "" : " TOO MUCH"),
                    String.format(Locale.ROOT, "%.3f", allowed)
                });
    }

    /** Returns whether every difference is within its allowed bound. */
    public boolean holds() {
        return holds;
    }

    /** Returns the comparison as a table in plain text. */
    public String text() {
        return title + (holds ? " agree\n" : " DO NOT AGREE\n") + TableWriter.aligned(rows);
    }
}
