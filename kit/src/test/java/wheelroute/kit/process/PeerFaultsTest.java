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
import wheelroute.kit.scenario.ScenarioException;
import wheelroute.kit.scenario.ScenarioReader;

/**
 * Tests that daemon processes of one cluster keep the audit rules and agree on the members after
 * faults of processes and links.
 */
public class PeerFaultsTest {
    private static final int MEMBERS = 7;
    private static final long SEED = 5;
    private static final double SECONDS = 12;

    private static final String DISPATCHERS_DIE_ON_LOSSY_NETWORK =
            fault("dispatcher-kill", 0.5, 1, "share = 0.3\nwithin = 0.5")
                    + fault("crash", 1, 1, "group = \"near\"\nshare = 0.5")
                    + fault("link-loss", 2, 2, "to = \"peers\"\nlevel = 0.3");

    private static final String PEERS_ARE_PARTITIONED =
            fault("link-cut", 0.5, 2, "to = \"peers\"\nshare = 0.4")
                    + fault("link-one-way", 2.5, 1, "to = \"peers\"\nshare = 0.2\npick = 1")
                    + fault("crash", 1, 1, "group = \"far\"\nshare = 0.5");

    private static final String DISPATCHERS_ARE_REPLACED_WHILE_GOSSIP_IS_DELAYED =
            fault("dispatcher-pause", 0.5, 1.5, "share = 0.3")
                    + fault("dispatcher-replace", 0.6, 4, "share = 0.3\npick = 1")
                    + replacement(0.7, "share = 0.1\npick = 3", "new-killed")
                    + fault("link-double", 0.5, 4, "to = \"peers\"\nlevel = 0.5")
                    + fault(
                            "link-slow",
                            0.5,
                            4,
                            "to = \"peers\"\nlevel = 0.02\nspread = 0.1\npick = 2");

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {DISPATCHERS_DIE_ON_LOSSY_NETWORK},
            {PEERS_ARE_PARTITIONED},
            {DISPATCHERS_ARE_REPLACED_WHILE_GOSSIP_IS_DELAYED},
        };
    }

    private static Scenario scenarioWithPeers(String faults) throws ScenarioException {
        String text =
                SmallScenario.TEXT
                        .replace("cycle = 5", "cycle = 20\nclocks = [\"real\"]\npeers = true")
                        .replace("dispatchers = 1", "dispatchers = " + MEMBERS);
        return ScenarioReader.read("peers", text + faults);
    }

    @Test(dataProvider = "faults")
    public void keepsRulesAndAgreesOnMembersAfterFaults(String faults) throws Exception {
        Report report = JudgedRuns.run(scenarioWithPeers(faults), SEED, SECONDS);
        JudgedRuns.assertKeepsRules(report);
        assertEquals(
                report.metrics().get(MetricNames.PEERS_NOT_CONVERGED),
                0.0,
                TableWriter.text(report));
        assertTrue(
                report.total().inTime() > report.total().requested() / 3, TableWriter.text(report));
    }
}
