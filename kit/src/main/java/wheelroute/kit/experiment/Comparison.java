package wheelroute.kit.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import wheelroute.kit.report.Report;
import wheelroute.kit.report.TableWriter;
import wheelroute.kit.scenario.MetricNames;

/**
 * Computes the mean and spread of each metric over the seeds, and the difference of each variant
 * from the first variant. All variants get the same requests with the same seed; differences are
 * therefore paired by seed, so that their standard error excludes the variation between seeds.
 */
public final class Comparison {
    private static final List<String> METRICS =
            List.of(
                    MetricNames.SERVICE,
                    MetricNames.IN_TIME,
                    MetricNames.REJECTED,
                    MetricNames.FAILED,
                    MetricNames.P99,
                    MetricNames.ATTEMPTS);

    private static final String[] COLUMNS = {
        "scenario", "figure", "variant", "seeds", "mean", "+-", "min", "max", "difference", "+-"
    };

    /**
     * The statistics of a metric in the runs of one scenario and variant.
     *
     * @param error standard error of the mean; NaN with one seed
     * @param difference mean difference from the first variant; 0 for the first variant
     * @param differenceError standard error of the difference; NaN with one seed
     */
    public record Cell(
            String scenario,
            String variant,
            String metric,
            int seeds,
            double mean,
            double error,
            double min,
            double max,
            double difference,
            double differenceError) {}

    private Comparison() {}

    /** Returns a cell for each scenario, metric and variant of the reports. */
    public static List<Cell> of(List<Report> reports) {
        Map<String, Map<String, Map<Long, Report>>> byScenarioVariantSeed = new LinkedHashMap<>();
        for (Report report : reports) {
            byScenarioVariantSeed
                    .computeIfAbsent(report.run().scenario(), key -> new LinkedHashMap<>())
                    .computeIfAbsent(report.run().variant(), key -> new LinkedHashMap<>())
                    .put(report.run().seed(), report);
        }
        List<Cell> cells = new ArrayList<>();
        byScenarioVariantSeed.forEach((scenario, variants) -> addCells(scenario, variants, cells));
        return cells;
    }

    private static void addCells(
            String scenario, Map<String, Map<Long, Report>> variants, List<Cell> cells) {
        Map<Long, Report> first = variants.values().iterator().next();
        for (String metric : METRICS) {
            variants.forEach(
                    (variant, runs) -> cells.add(cell(scenario, variant, metric, runs, first)));
        }
    }

    private static Cell cell(
            String scenario,
            String variant,
            String metric,
            Map<Long, Report> runs,
            Map<Long, Report> firstRuns) {
        double[] values =
                runs.values().stream().mapToDouble(run -> run.metrics().get(metric)).toArray();
        double[] differences = differences(metric, runs, firstRuns);
        double min = Double.POSITIVE_INFINITY;
        double max = Double.NEGATIVE_INFINITY;
        for (double value : values) {
            min = Math.min(min, value);
            max = Math.max(max, value);
        }
        return new Cell(
                scenario,
                variant,
                metric,
                values.length,
                mean(values),
                standardError(values),
                min,
                max,
                mean(differences),
                standardError(differences));
    }

    private static double[] differences(
            String metric, Map<Long, Report> runs, Map<Long, Report> firstRuns) {
        TreeSet<Long> commonSeeds = new TreeSet<>(runs.keySet());
        commonSeeds.retainAll(firstRuns.keySet());
        return commonSeeds.stream()
                .mapToDouble(
                        seed ->
                                runs.get(seed).metrics().get(metric)
                                        - firstRuns.get(seed).metrics().get(metric))
                .toArray();
    }

    static double mean(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum / values.length;
    }

    /** Returns the standard error of the mean; NaN for a single value. */
    static double standardError(double[] values) {
        if (values.length < 2) {
            return Double.NaN;
        }
        double mean = mean(values);
        double squares = 0;
        for (double value : values) {
            squares += (value - mean) * (value - mean);
        }
        return Math.sqrt(squares / (values.length - 1) / values.length);
    }

    /** Returns the cells as a table in plain text. */
    public static String text(List<Cell> cells) {
        List<String[]> rows = new ArrayList<>();
        rows.add(COLUMNS);
        for (Cell cell : cells) {
            rows.add(
                    new String[] {
                        cell.scenario(),
                        cell.metric(),
                        cell.variant(),
                        Integer.toString(cell.seeds()),
                        number(cell.mean()),
                        number(cell.error()),
                        number(cell.min()),
                        number(cell.max()),
                        number(cell.difference()),
                        number(cell.differenceError())
                    });
        }
        return TableWriter.aligned(rows);
    }

    private static String number(double value) {
        return Double.isNaN(value) ? "-" : String.format(Locale.ROOT, "%.4f", value);
    }
}
