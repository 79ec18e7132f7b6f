package wheelroute.kit.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.kit.SmallScenario;
import wheelroute.kit.report.Report;
import wheelroute.kit.report.TableWriter;
import wheelroute.kit.scenario.FigureNames;
import wheelroute.kit.scenario.ScenarioReader;

/** Five processes of the program at once, and each kind of fault between them. */
public class LinkFaultsTest {
    private static final int PROCESSES = 5;

    private static String fault(String kind, double at, double length, String more) {
        return "[[faults]]\nkind = \""
                + kind
                + "\"\nat = "
                + at
                + "\nfor = "
                + length
                + "\n"
                + more
                + "\n";
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {
                fault("dispatcher-kill", 0.5, 1.5, "share = 0.4\nwithin = 1")
                        + fault("dispatcher-restart", 2.5, 2, "share = 0.2\npick = 1")
            },
            {
                fault("dispatcher-pause", 0.5, 0.4, "share = 0.6\nwithin = 1")
                        + fault("dispatcher-pause", 2, 2.5, "share = 0.2\npick = 1")
                        + fault("drain", 1.8, 2, "group = \"far\"\nshare = 0.5")
            },
            {
                fault("link-cut", 0.5, 1.5, "group = \"near\"\nshare = 0.4")
                        + fault("link-refuse", 1, 1.5, "group = \"far\"\nshare = 0.4\npick = 1")
                        + fault("list-cut", 2, 2, "share = 0.6\npick = 2")
            },
            {
                fault("link-one-way", 0.5, 1.5, "group = \"near\"\nshare = 0.4")
                        + fault("link-slow", 1, 3, "share = 0.4\nlevel = 0.05\npick = 1")
                        + fault("crash", 2.5, 1, "group = \"far\"\nshare = 0.5")
            },
            {
                fault("link-cut", 0.5, 1, "to = \"clients\"\nshare = 0.4")
                        + fault("link-refuse", 2, 1, "to = \"clients\"\nshare = 0.4\npick = 1")
                        + fault(
                                "link-slow",
                                3,
                                1.5,
                                "to = \"clients\"\nlevel = 0.05\nspread = 0.05\npick = 2")
                        + fault("link-refuse", 1, 1.5, "to = \"list\"\nshare = 0.6\npick = 3")
            },
            {
                fault("link-unheard", 0.5, 1.5, "group = \"near\"\nshare = 0.4")
                        + fault("link-loss", 1, 2, "share = 0.4\nlevel = 0.3\npick = 1")
                        + fault("link-trickle", 2, 2, "share = 0.4\nlevel = 3000\npick = 2")
                        + fault("dispatcher-starve", 0.5, 4, "share = 0.2\nlevel = 0.3\npick = 3")
            },
            {
                fault("dispatcher-replace", 0.5, 4, "share = 0.4")
                        + fault(
                                "dispatcher-replace",
                                0.5,
                                4,
                                "share = 0.2\npick = 1\nhow = \"new-killed\"")
                        + fault(
                                "dispatcher-replace",
                                0.7,
                                4,
                                "share = 0.2\npick = 2\nhow = \"old-killed\"")
                        + fault(
                                "dispatcher-replace",
                                0.9,
                                4,
                                "share = 0.2\npick = 3\nhow = \"both-stopped\"")
                        + fault("crowd", 0.5, 4, "share = 0.6\nlevel = 100")
            },
        };
    }

    /** Every ask ends in one way and no rule breaks, over all processes together. */
    @Test(dataProvider = "faults")
    public void allTogetherKeepTheRules(String faults) throws Exception {
        Report report =
                JudgedRuns.play(
                        SmallScenario.scenario(faults, PROCESSES, "clocks = [\"real\"]"), 5, 5);
        Report.Row all = report.total();
        assertEquals(
                all.inTime()
                        + all.late()
                        + all.rejected()
                        + all.failed()
                        + all.unanswered()
                        + all.cancelled(),
                all.requested());
        assertTrue(report.keepsRules(), TableWriter.text(report));
        assertTrue(all.inTime() > all.requested() / 3, TableWriter.text(report));
        assertEquals(
                report.figures().get(FigureNames.FAILED_REPLACEMENTS),
                0.0,
                TableWriter.text(report));
    }

    /**
     * The doors' figures through kills, restarts and replacements, by what clients and workers saw.
     */
    @Test
    public void figuresStayTrueThroughRestarts() throws Exception {
        Report report =
                JudgedRuns.play(
                        SmallScenario.scenario(
                                fault("dispatcher-kill", 1, 1, "share = 0.2")
                                        + fault("dispatcher-replace", 1, 4, "share = 0.2\npick = 1")
                                        + fault("burst", 1, 2, "group = \"far\"\nlevel = 0.5"),
                                PROCESSES,
                                "clocks = [\"real\"]"),
                        5,
                        5);
        assertEquals(
                report.figures().get(FigureNames.MISMATCHED_METRICS),
                0.0,
                TableWriter.text(report));
        assertTrue(report.keepsRules(), TableWriter.text(report));
    }

    private static final int MEMBERS = 7;

    @DataProvider
    public Object[][] amongPeers() {
        return new Object[][] {
            {
                fault("dispatcher-kill", 0.5, 1, "share = 0.3\nwithin = 0.5")
                        + fault("crash", 1, 1, "group = \"near\"\nshare = 0.5")
                        + fault("link-loss", 2, 2, "to = \"peers\"\nlevel = 0.3")
            },
            {
                fault("link-cut", 0.5, 2, "to = \"peers\"\nshare = 0.4")
                        + fault("link-one-way", 2.5, 1, "to = \"peers\"\nshare = 0.2\npick = 1")
                        + fault("crash", 1, 1, "group = \"far\"\nshare = 0.5")
            },
            {
                fault("dispatcher-pause", 0.5, 1.5, "share = 0.3")
                        + fault("dispatcher-replace", 0.6, 4, "share = 0.3\npick = 1")
                        + fault(
                                "dispatcher-replace",
                                0.7,
                                4,
                                "share = 0.1\npick = 3\nhow = \"new-killed\"")
                        + fault("link-double", 0.5, 4, "to = \"peers\"\nlevel = 0.5")
                        + fault(
                                "link-slow",
                                0.5,
                                4,
                                "to = \"peers\"\nlevel = 0.02\nspread = 0.1\npick = 2")
            },
        };
    }

    /**
     * Dispatchers that know each other, and lose each other: the rules hold, and at the end all
     * agree.
     */
    @Test(dataProvider = "amongPeers")
    public void peersKeepTheRulesAndAgreeInTheEnd(String faults) throws Exception {
        Report report =
                JudgedRuns.play(
                        ScenarioReader.read(
                                "peers",
                                SmallScenario.TEXT
                                                .replace(
                                                        "cycle = 5",
                                                        "cycle = 20\nclocks = [\"real\"]\npeers = true")
                                                .replace(
                                                        "dispatchers = 1",
                                                        "dispatchers = " + MEMBERS)
                                        + faults),
                        5,
                        12);
        assertTrue(report.keepsRules(), TableWriter.text(report));
        assertEquals(
                report.figures().get(FigureNames.PEERS_NOT_CONVERGED),
                0.0,
                TableWriter.text(report));
        assertTrue(
                report.total().inTime() > report.total().requested() / 3, TableWriter.text(report));
    }
}
