package wheelroute.kit.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.kit.SmallScenario;
import wheelroute.kit.report.JsonWriter;
import wheelroute.kit.report.Report;
import wheelroute.kit.scenario.FigureNames;

/** Several runs: their order, their figures, what is said of them together. */
public class MatrixTest {
    private static final Plan PLAN =
            new Plan(
                    List.of(SmallScenario.scenario("")),
                    List.of(1L, 2L, 3L),
                    List.of(Variant.USUAL, Variant.baseline("round-robin")),
                    Plan.Clock.VIRTUAL,
                    0,
                    true,
                    null);

    private static List<Report> play(int cores) throws Exception {
        return new Matrix(PLAN, cores, () -> false, text -> {}).run();
    }

    @Test
    public void reportsAreTheSameOnAnyNumberOfCores() throws Exception {
        List<Report> one = play(1);
        assertEquals(one.size(), 6);
        assertEquals(JsonWriter.text(play(4)), JsonWriter.text(one));
        assertEquals(one.get(4).run().seed(), 2L);
        assertEquals(one.get(4).run().variant(), "round-robin");
    }

    /** Worked out by hand from the runs' own figures. */
    @Test
    public void differencesArePaired() throws Exception {
        List<Report> reports = play(2);
        double[] p99 =
                reports.stream().mapToDouble(r -> r.figures().get(FigureNames.P99)).toArray();
        Comparison.Cell cell =
                Comparison.of(reports).stream()
                        .filter(
                                c ->
                                        c.figure().equals(FigureNames.P99)
                                                && c.variant().equals("round-robin"))
                        .findFirst()
                        .orElseThrow();
        double[] d = {p99[3] - p99[0], p99[4] - p99[1], p99[5] - p99[2]};
        double mean = (d[0] + d[1] + d[2]) / 3;
        double squares =
                Math.pow(d[0] - mean, 2) + Math.pow(d[1] - mean, 2) + Math.pow(d[2] - mean, 2);
        assertEquals(cell.difference(), mean, 1e-12);
        assertEquals(cell.differenceError(), Math.sqrt(squares / 2 / 3), 1e-12);
        assertEquals(cell.min(), Math.min(p99[3], Math.min(p99[4], p99[5])));
        assertTrue(Comparison.text(Comparison.of(reports)).contains("round-robin"));
    }

    @Test
    public void repeatsAgreeAndOthersDoNot() throws Exception {
        List<Report> reports = play(2);
        assertTrue(Agreement.ofRepeats(reports, play(3)).holds());
        Agreement crossed = Agreement.ofRepeats(reports.subList(0, 1), reports.subList(1, 2));
        assertTrue(!crossed.holds() && crossed.text().contains("DO NOT AGREE"), crossed.text());
    }

    @Test
    public void aStoppedMatrixPlaysNoMore() throws Exception {
        assertEquals(new Matrix(PLAN, 1, () -> true, text -> {}).run().size(), 0);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {":a=b", "has no name before its colon"},
            {"x:a", "'a' is not KEY=VALUE"},
            {"x:=b", "'=b' is not KEY=VALUE"},
            {"x:brain=none", "no strategy 'none'; there are least-outstanding, module"},
            {"x:daemon=/nowhere/at/all.jar", "no daemon at /nowhere/at/all.jar"},
        };
    }

    @Test(dataProvider = "faults")
    public void aVariantThatCannotBeUsedIsNamed(String text, String told) {
        String message =
                expectThrows(IllegalArgumentException.class, () -> Variant.parse(text))
                        .getMessage();
        assertTrue(message.contains(told), message);
    }

    @Test
    public void aVariantHasSettingsBrainAndDaemon() throws Exception {
        Path jar = Files.createTempFile("daemon", ".jar");
        Variant variant = Variant.parse("x:brain=random, permissions.most_tries = 2,daemon=" + jar);
        assertEquals(variant.strategy(), "random");
        assertEquals(variant.settings().get("permissions.most_tries"), "2");
        assertEquals(variant.jar(), jar.toAbsolutePath());
        Files.delete(jar);
    }
}
