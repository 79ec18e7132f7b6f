package wheelroute.kit.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.kit.SmallScenario;
import wheelroute.kit.report.Report;
import wheelroute.kit.report.TableWriter;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.simulation.SimulationRun;
import wheelroute.kit.strategy.Strategies;

/** Whole runs on sockets, each daemon a process of its own. */
public class ProcessRunTest {
    private static Report play(Scenario scenario, double seconds) throws Exception {
        return JudgedRuns.play(scenario, 3, seconds);
    }

    @DataProvider
    public Object[][] troubles() {
        return new Object[][] {
            {"none", ""},
            {
                "a burst of errors",
                "[[faults]]\nkind = \"burst\"\nat = 1\nfor = 2\ngroup = \"far\"\nlevel =" + " 0.5\n"
            },
            {
                "a crash, and back cold",
                "[[faults]]\nkind = \"crash\"\nat = 1\nfor = 2\ngroup ="
                        + " \"near\"\nshare = 0.5\n"
            },
            {
                "a drain",
                "[[faults]]\nkind = \"drain\"\nat = 0.5\nfor = 3\ngroup = \"near\"\nshare = 0.5\n"
            },
            {
                "a machine cut off",
                "[[faults]]\nkind = \"vanish\"\nat = 1\nfor = 2\ngroup = \"near\"\nshare"
                        + " = 0.5\n"
            },
            {"discovery down", "[[faults]]\nkind = \"list-down\"\nat = 1\nfor = 2\n"},
            {
                "a dispatcher killed",
                "[[faults]]\nkind = \"dispatcher-kill\"\nat = 1\nfor = 1\nshare = 0.5\n"
            },
            {
                "a dispatcher told to end",
                "[[faults]]\nkind = \"dispatcher-restart\"\nat = 1\nfor =" + " 2\nshare = 0.5\n"
            },
            {"clients that hang up", "[clients]\nimpatient = 0.5\nretries = 1\n"},
        };
    }

    /** Every ask ends in one way, and no rule breaks, whatever goes wrong. */
    @Test(dataProvider = "troubles")
    public void theDaemonKeepsTheRulesAmidTrouble(String trouble, String more) throws Exception {
        // With two, nobody has to wait for a start: what one just started reads late, it cannot
        // answer in
        // time.
        int dispatchers = more.contains("dispatcher-") ? 2 : 1;
        Report report = play(SmallScenario.scenario(more, dispatchers), 4);
        Report.Row all = report.total();
        assertEquals(
                all.inTime()
                        + all.late()
                        + all.rejected()
                        + all.failed()
                        + all.unanswered()
                        + all.cancelled(),
                all.requested(),
                trouble);
        assertTrue(all.requested() > 120, TableWriter.text(report));
        assertTrue(report.keepsRules(), TableWriter.text(report));
        assertTrue(all.inTime() > all.requested() / 4, TableWriter.text(report));
    }

    /**
     * The two clocks ask the same and serve alike: a model that drifts from the sockets is found
     * here.
     */
    @Test
    public void theClocksAgree() throws Exception {
        Scenario scenario = SmallScenario.scenario("");
        Report real = play(scenario, 4);
        Report virtual =
                SimulationRun.run(
                        scenario,
                        3,
                        4,
                        Map.of(),
                        "as-built",
                        w -> Strategies.factory(Strategies.POLICY, w),
                        () -> false);
        assertEquals(real.total().requested(), virtual.total().requested());
        assertEquals(real.total().service(), virtual.total().service(), 0.03);
    }

    @Test
    public void aDaemonThatDoesNotStartIsTold() throws Exception {
        Path jar = Files.createTempFile("none", ".jar");
        RehearsalException e =
                expectThrows(
                        RehearsalException.class,
                        () ->
                                ProcessRun.run(
                                        new ProcessRun.Options(
                                                SmallScenario.scenario(""),
                                                3,
                                                5,
                                                Map.of(),
                                                "x",
                                                jar,
                                                null),
                                        () -> false,
                                        text -> {}));
        assertTrue(e.getMessage().contains("n0 did not start"), e.getMessage());
        Files.delete(jar);
    }
}
