package wheelroute.kit.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static wheelroute.kit.process.FaultTables.fault;
import static wheelroute.kit.process.FaultTables.replacement;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.kit.SmallScenario;
import wheelroute.kit.report.Report;
import wheelroute.kit.report.TableWriter;
import wheelroute.kit.scenario.MetricNames;
import wheelroute.kit.scenario.Scenario;

/**
 * Tests that several daemon processes keep the audit rules during overlapping faults of processes
 * and links.
 */
public class LinkFaultsTest {
    private static final int DISPATCHERS = 5;
    private static final long SEED = 5;
    private static final double SECONDS = 5;
    private static final String REAL_CLOCK = "clocks = [\"real\"]";

    private static final String DISPATCHERS_END =
            fault("dispatcher-kill", 0.5, 1.5, "share = 0.4\nwithin = 1")
                    + fault("dispatcher-restart", 2.5, 2, "share = 0.2\npick = 1");

    private static final String DISPATCHERS_PAUSE_WHILE_WORKERS_DRAIN =
            fault("dispatcher-pause", 0.5, 0.4, "share = 0.6\nwithin = 1")
                    + fault("dispatcher-pause", 2, 2.5, "share = 0.2\npick = 1")
                    + fault("drain", 1.8, 2, "group = \"far\"\nshare = 0.5");

    private static final String WORKER_AND_DISCOVERY_LINKS_BREAK =
            fault("link-cut", 0.5, 1.5, "group = \"near\"\nshare = 0.4")
                    + fault("link-refuse", 1, 1.5, "group = \"far\"\nshare = 0.4\npick = 1")
                    + fault("list-cut", 2, 2, "share = 0.6\npick = 2");

    private static final String LINKS_DEGRADE_WHILE_WORKERS_CRASH =
            fault("link-one-way", 0.5, 1.5, "group = \"near\"\nshare = 0.4")
                    + fault("link-slow", 1, 3, "share = 0.4\nlevel = 0.05\npick = 1")
                    + fault("crash", 2.5, 1, "group = \"far\"\nshare = 0.5");

    private static final String CLIENT_LINKS_BREAK =
            fault("link-cut", 0.5, 1, "to = \"clients\"\nshare = 0.4")
                    + fault("link-refuse", 2, 1, "to = \"clients\"\nshare = 0.4\npick = 1")
                    + fault(
                            "link-slow",
                            3,
                            1.5,
                            "to = \"clients\"\nlevel = 0.05\nspread = 0.05\npick = 2")
                    + fault("link-refuse", 1, 1.5, "to = \"list\"\nshare = 0.6\npick = 3");

    private static final String LINKS_LOSE_WHILE_CPU_IS_LIMITED =
            fault("link-unheard", 0.5, 1.5, "group = \"near\"\nshare = 0.4")
                    + fault("link-loss", 1, 2, "share = 0.4\nlevel = 0.3\npick = 1")
                    + fault("link-trickle", 2, 2, "share = 0.4\nlevel = 3000\npick = 2")
                    + fault("dispatcher-starve", 0.5, 4, "share = 0.2\nlevel = 0.3\npick = 3");

    private static final String REPLACEMENTS_FAIL_DURING_CONNECTION_FLOOD =
            fault("dispatcher-replace", 0.5, 4, "share = 0.4")
                    + replacement(0.5, "share = 0.2\npick = 1", "new-killed")
                    + replacement(0.7, "share = 0.2\npick = 2", "old-killed")
                    + replacement(0.9, "share = 0.2\npick = 3", "both-stopped")
                    + fault("crowd", 0.5, 4, "share = 0.6\nlevel = 100");

    private static Report run(String faults) throws Exception {
        Scenario scenario = SmallScenario.scenario(faults, DISPATCHERS, REAL_CLOCK);
        return JudgedRuns.run(scenario, SEED, SECONDS);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {DISPATCHERS_END},
            {DISPATCHERS_PAUSE_WHILE_WORKERS_DRAIN},
            {WORKER_AND_DISCOVERY_LINKS_BREAK},
            {LINKS_DEGRADE_WHILE_WORKERS_CRASH},
            {CLIENT_LINKS_BREAK},
            {LINKS_LOSE_WHILE_CPU_IS_LIMITED},
            {REPLACEMENTS_FAIL_DURING_CONNECTION_FLOOD},
        };
    }

    @Test(dataProvider = "faults")
    public void keepsRulesDuringFaults(String faults) throws Exception {
        Report report = run(faults);
        Report.Row all = report.total();
        JudgedRuns.assertEachRequestEndedOnce(all, faults);
        JudgedRuns.assertKeepsRules(report);
        assertTrue(all.inTime() > all.requested() / 3, TableWriter.text(report));
        assertEquals(
                report.metrics().get(MetricNames.FAILED_REPLACEMENTS),
                0.0,
                TableWriter.text(report));
    }

    @Test
    public void metricsMatchObservationsThroughRestarts() throws Exception {
        Report report =
                run(
                        fault("dispatcher-kill", 1, 1, "share = 0.2")
                                + fault("dispatcher-replace", 1, 4, "share = 0.2\npick = 1")
                                + fault("burst", 1, 2, "group = \"far\"\nlevel = 0.5"));
        assertEquals(
                report.metrics().get(MetricNames.MISMATCHED_METRICS),
                0.0,
                TableWriter.text(report));
        JudgedRuns.assertKeepsRules(report);
    }
}
