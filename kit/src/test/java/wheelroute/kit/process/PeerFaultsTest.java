package wheelroute.kit.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.kit.SmallScenario;
import wheelroute.kit.report.Report;
import wheelroute.kit.report.TableWriter;
import wheelroute.kit.scenario.FigureNames;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.scenario.ScenarioException;
import wheelroute.kit.scenario.ScenarioReader;

/** Processes of the daemon that are members of one group, with faults of processes and links. */
public class PeerFaultsTest {
    private static final int MEMBERS = 7;
    private static final long SEED = 5;
    private static final double SECONDS = 12;

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {
                """
                [[faults]]
                kind = "dispatcher-kill"
                at = 0.5
                for = 1.0
                share = 0.3
                within = 0.5
                [[faults]]
                kind = "crash"
                at = 1.0
                for = 1.0
                group = "near"
                share = 0.5
                [[faults]]
                kind = "link-loss"
                at = 2.0
                for = 2.0
                to = "peers"
                level = 0.3
                """
            },
            {
                """
                [[faults]]
                kind = "link-cut"
                at = 0.5
                for = 2.0
                to = "peers"
                share = 0.4
                [[faults]]
                kind = "link-one-way"
                at = 2.5
                for = 1.0
                to = "peers"
                share = 0.2
                pick = 1
                [[faults]]
                kind = "crash"
                at = 1.0
                for = 1.0
                group = "far"
                share = 0.5
                """
            },
            {
                """
                [[faults]]
                kind = "dispatcher-pause"
                at = 0.5
                for = 1.5
                share = 0.3
                [[faults]]
                kind = "dispatcher-replace"
                at = 0.6
                for = 4.0
                share = 0.3
                pick = 1
                [[faults]]
                kind = "dispatcher-replace"
                at = 0.7
                for = 4.0
                share = 0.1
                pick = 3
                how = "new-killed"
                [[faults]]
                kind = "link-double"
                at = 0.5
                for = 4.0
                to = "peers"
                level = 0.5
                [[faults]]
                kind = "link-slow"
                at = 0.5
                for = 4.0
                to = "peers"
                level = 0.02
                spread = 0.1
                pick = 2
                """
            },
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
        assertEquals(report.figures().get(FigureNames.PEERS_WRONG), 0.0, TableWriter.text(report));
        assertTrue(
                report.total().inTime() > report.total().requested() / 3, TableWriter.text(report));
    }
}
