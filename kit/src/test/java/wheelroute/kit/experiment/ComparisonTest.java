package wheelroute.kit.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import wheelroute.kit.report.Report;
import wheelroute.kit.scenario.MetricNames;

public class ComparisonTest {
    private static final double TOLERANCE = 1e-12;

    /** Computes the expected values independently, from the metrics of the single runs. */
    @Test
    public void pairsDifferencesBySeed() throws Exception {
        List<Report> reports = SmallPlan.run(2);

        List<Comparison.Cell> cells = Comparison.of(reports);

        Comparison.Cell cell =
                cells.stream()
                        .filter(each -> each.metric().equals(MetricNames.P99))
                        .filter(each -> each.variant().equals(SmallPlan.BASELINE))
                        .findFirst()
                        .orElseThrow();
        double[] p99 =
                reports.stream().mapToDouble(r -> r.metrics().get(MetricNames.P99)).toArray();
        double[] differences = {p99[3] - p99[0], p99[4] - p99[1], p99[5] - p99[2]};
        double mean = (differences[0] + differences[1] + differences[2]) / 3;
        double squares =
                Math.pow(differences[0] - mean, 2)
                        + Math.pow(differences[1] - mean, 2)
                        + Math.pow(differences[2] - mean, 2);
        assertEquals(cell.difference(), mean, TOLERANCE);
        assertEquals(cell.differenceError(), Math.sqrt(squares / 2 / 3), TOLERANCE);
        assertEquals(cell.min(), Math.min(p99[3], Math.min(p99[4], p99[5])));
        assertTrue(Comparison.text(cells).contains(SmallPlan.BASELINE));
    }
}
