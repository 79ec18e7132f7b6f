package wheelroute.kit.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import wheelroute.kit.report.Report;
import wheelroute.kit.report.TableWriter;
import wheelroute.kit.scenario.FigureNames;

/**
 * What several runs say together: each figure's mean and spread over the seeds, and how a variant
 * differs from the first one on the same seeds. Asks are the same for all variants of a seed, so
 * differences are paired: their spread is that of the difference, not of the days.
 */
public final class Comparison {
    private static final List<String> FIGURES =
            List.of(
                    FigureNames.SERVICE,
                    FigureNames.IN_TIME,
                    FigureNames.REJECTED,
                    FigureNames.FAILED,
                    FigureNames.P99,
                    FigureNames.ATTEMPTS);

    /**
     * Of one scenario and variant.
     *
     * @param error the standard error of the mean; NaN with one seed
     * @param difference from the first variant, the mean over seeds; 0 for that one itself
     * @param differenceError the standard error of the difference; NaN with one seed
     */
    public record Cell(
            String scenario,
            String variant,
            String figure,
            int seeds,
            double mean,
            double error,
            double least,
            double most,
            double difference,
            double differenceError) {}

    private Comparison() {}

    /** One cell for each scenario, variant and request class of the reports. */
    public static List<Cell> of(List<Report> reports) {
        Map<String, Map<String, Map<Long, Report>>> tree = new LinkedHashMap<>();
        for (Report report : reports) {
            tree.computeIfAbsent(report.run().scenario(), s -> new LinkedHashMap<>())
                    .computeIfAbsent(report.run().variant(), v -> new LinkedHashMap<>())
                    .put(report.run().seed(), report);
        }
        List<Cell> cells = new ArrayList<>();
        tree.forEach(
                (scenario, variants) -> {
                    Map<Long, Report> first = variants.values().iterator().next();
                    for (String figure : FIGURES) {
                        variants.forEach(
                                (variant, runs) ->
                                        cells.add(cell(scenario, variant, figure, runs, first)));
                    }
                });
        return cells;
    }

    private static Cell cell(
            String scenario,
            String variant,
            String figure,
            Map<Long, Report> runs,
            Map<Long, Report> first) {
        double[] values =
                runs.values().stream().mapToDouble(r -> r.figures().get(figure)).toArray();
        TreeSet<Long> both = new TreeSet<>(runs.keySet());
        both.retainAll(first.keySet());
        double[] differences =
                both.stream()
                        .mapToDouble(
                                seed ->
                                        runs.get(seed).figures().get(figure)
                                                - first.get(seed).figures().get(figure))
                        .toArray();
        double least = Double.POSITIVE_INFINITY;
        double most = Double.NEGATIVE_INFINITY;
        for (double value : values) {
            least = Math.min(least, value);
            most = Math.max(most, value);
        }
        return new Cell(
                scenario,
                variant,
                figure,
                values.length,
                mean(values),
                error(values),
                least,
                most,
                mean(differences),
                error(differences));
    }

    static double mean(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum / values.length;
    }

    /** The standard error of the mean. */
    static double error(double[] values) {
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

    /** The cells as a table for a terminal. */
    public static String text(List<Cell> cells) {
        List<String[]> rows = new ArrayList<>();
        rows.add(
                new String[] {
                    "scenario",
                    "figure",
                    "variant",
                    "seeds",
                    "mean",
                    "+-",
                    "least",
                    "most",
                    "less first",
                    "+-"
                });
        for (Cell cell : cells) {
            rows.add(
                    new String[] {
                        cell.scenario(),
                        cell.figure(),
                        cell.variant(),
                        Integer.toString(cell.seeds()),
                        number(cell.mean()),
                        number(cell.error()),
                        number(cell.least()),
                        number(cell.most()),
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
