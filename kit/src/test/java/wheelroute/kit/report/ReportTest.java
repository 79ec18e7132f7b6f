package wheelroute.kit.report;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.kit.SmallScenario;
import wheelroute.kit.audit.Rule;
import wheelroute.kit.report.Report.Judgement;
import wheelroute.kit.report.Report.MachineLag;
import wheelroute.kit.simulation.SimulatedRuns;

/** Tests the judgement of a run and its presentation as text and HTML. */
public class ReportTest {
    private static final double RUN_SECONDS = 5;

    @Test
    public void showsExpectationThatDoesNotHold() throws Exception {
        Report report =
                SimulatedRuns.run(
                        SmallScenario.scenario(
                                "[expect.service]\nleast = 1.01\n[expect.p99]\nmost = 10\n"),
                        1,
                        RUN_SECONDS);
        assertFalse(report.holds());
        assertEquals(report.verdicts().stream().filter(Report.Verdict::holds).count(), 1);
        assertTrue(
                TableWriter.text(report).contains("service at least 1.01"),
                TableWriter.text(report));
        String page = HtmlWriter.text(List.of(report), "a < b");
        assertTrue(
                page.contains("does not hold")
                        && page.contains("a &lt; b")
                        && page.contains("uPlot"));
        assertTrue(
                !page.contains("src=\"http") && !page.contains("href=\"http"),
                "the page refers to another file");
    }

    @DataProvider
    public Object[][] lagsAndBreaches() {
        double tooLong = Report.MAX_P99_LAG_SECONDS * 1.01;
        double tooLongOnce = Report.MAX_SINGLE_LAG_SECONDS * 1.01;
        MachineLag timersLag = new MachineLag(tooLong, 1, 0, 0);
        MachineLag coresLag = new MachineLag(0, 0, tooLong, 1);
        MachineLag timersLagOnce = new MachineLag(0, tooLongOnce, 0, 0);
        MachineLag coresLagOnce = new MachineLag(0, 0, 0, tooLongOnce);
        MachineLag bothLagOnce = new MachineLag(0, tooLongOnce, 0, tooLongOnce);
        return new Object[][] {
            // The columns are the lag of the machine, the broken rule and the expected judgement.
            {timersLag, null, Judgement.NOT_JUDGED},
            {coresLag, null, Judgement.NOT_JUDGED},
            {bothLagOnce, null, Judgement.HOLDS},
            {MachineLag.NONE, Rule.ONE_FINAL_ANSWER, Judgement.DOES_NOT_HOLD},
            {timersLagOnce, Rule.ONE_FINAL_ANSWER, Judgement.NOT_JUDGED},
            {coresLagOnce, Rule.NO_SLOW_START_OVERLOAD, Judgement.NOT_JUDGED},
            {bothLagOnce, Rule.AT_MOST_ONE_EFFECT, Judgement.DOES_NOT_HOLD},
        };
    }

    /**
     * Machine lag may be the cause of any breach except that of {@link Rule#AT_MOST_ONE_EFFECT}.
     */
    @Test(dataProvider = "lagsAndBreaches")
    public void doesNotJudgeRunOnMachineThatLags(
            MachineLag lag, Rule brokenRule, Judgement expected) throws Exception {
        Report report = SimulatedRuns.run(SmallScenario.scenario(""), 1, RUN_SECONDS);
        assertTrue(report.holds(), TableWriter.text(report));
        Report changed = withLagAndBreach(report, lag, brokenRule);
        assertEquals(changed.judgement(), expected, TableWriter.text(changed));
        assertEquals(
                TableWriter.text(changed).contains("NOT JUDGED"), expected == Judgement.NOT_JUDGED);
    }

    private static Report withLagAndBreach(Report report, MachineLag lag, Rule brokenRule) {
        Map<Rule, Integer> breachCounts = new LinkedHashMap<>(report.breachCounts());
        if (brokenRule != null) {
            breachCounts.put(brokenRule, 1);
        }
        return new Report(
                report.run(),
                report.total(),
                report.requestClasses(),
                report.tenants(),
                report.metrics(),
                report.verdicts(),
                breachCounts,
                report.breaches(),
                report.series(),
                report.distribution(),
                report.faultPeriods(),
                lag,
                report.notes(),
                false);
    }
}
