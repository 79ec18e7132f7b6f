package wheelroute.kit.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import wheelroute.kit.SmallScenario;
import wheelroute.kit.report.JsonWriter;
import wheelroute.kit.report.Report;
import wheelroute.kit.report.TableWriter;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.scenario.ScenarioLibrary;
import wheelroute.kit.strategy.Strategies;

/** Tests that simulated runs are repeatable and that each request is counted once. */
public class SimulationRunTest {
    private static final int RANDOM_SCHEDULES = 60;
    private static final double SMALL_RUN_SECONDS = 5;

    /** The random faults include those of dispatchers and links that can be simulated. */
    @Test
    public void keepsRulesUnderRandomFaults() throws Exception {
        Scenario scenario =
                SmallScenario.scenario(
                        "[drawn]\nfaults = 5\nlongest = 2\n[clients]\nretries = 2\n", 4);
        for (int seed = 0; seed < RANDOM_SCHEDULES; seed++) {
            Report report = SimulatedRuns.run(scenario, seed, SMALL_RUN_SECONDS);
            assertTrue(report.keepsRules(), "seed " + seed + ": " + TableWriter.text(report));
            assertEquals(resultCount(report.total()), report.total().requested());
        }
    }

    private static long resultCount(Report.Row row) {
        return row.inTime()
                + row.late()
                + row.rejected()
                + row.failed()
                + row.unanswered()
                + row.cancelled();
    }

    @Test
    public void sameSeedGivesSameReport() throws Exception {
        Scenario scenario = ScenarioLibrary.find("drain-in-burst");
        String first = JsonWriter.text(List.of(SimulatedRuns.run(scenario, 5, 12)));
        assertEquals(JsonWriter.text(List.of(SimulatedRuns.run(scenario, 5, 12))), first);
        assertNotEquals(JsonWriter.text(List.of(SimulatedRuns.run(scenario, 6, 12))), first);
    }

    /** Experiments pair runs by seed, so the requests must be the same under each strategy. */
    @Test
    public void requestsDoNotDependOnStrategy() throws Exception {
        Scenario scenario = ScenarioLibrary.find("failures-overlap");
        Report policy = SimulatedRuns.run(scenario, 5, 10);
        Report baseline = SimulatedRuns.run(scenario, 5, 10, "round-robin");
        assertEquals(policy.series().requested(), baseline.series().requested());
        for (int i = 0; i < policy.requestClasses().size(); i++) {
            assertEquals(
                    policy.requestClasses().get(i).requested(),
                    baseline.requestClasses().get(i).requested());
        }
        assertNotEquals(policy.total().p99Seconds(), baseline.total().p99Seconds());
    }

    @Test
    public void everyRequestHasOneResult() throws Exception {
        Scenario scenario =
                SmallScenario.scenario(
                        "[clients]\nimpatient = 0.3\nretries = 2\n"
                                + "[[faults]]\nkind = \"dispatcher-kill\"\nat = 1\nfor = 1\n"
                                + "[[faults]]\nkind = \"list-down\"\nat = 1.5\nfor = 2\n");
        Report report = SimulatedRuns.run(scenario, 1, SMALL_RUN_SECONDS);
        Report.Row total = report.total();
        assertEquals(resultCount(total), total.requested());
        assertTrue(
                total.requested() > 150 && total.requested() < 250,
                "expected about 200 requests (40 per second for 5 s), got " + total.requested());
        assertTrue(total.cancelled() > 0, "expected cancelled requests, got none");
        assertTrue(report.keepsRules(), TableWriter.text(report));
    }

    @Test
    public void reportOfStoppedRunIsPartial() throws Exception {
        int[] stopChecks = {0};
        Report report =
                SimulationRun.run(
                        ScenarioLibrary.find("calm"),
                        1,
                        60,
                        Map.of(),
                        "x",
                        cluster -> Strategies.factory("random", cluster),
                        () -> ++stopChecks[0] > 2);
        assertTrue(report.partial());
        assertFalse(report.holds());
        assertTrue(TableWriter.text(report).contains("PARTIAL"));
    }
}
