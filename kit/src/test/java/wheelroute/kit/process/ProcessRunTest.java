package wheelroute.kit.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;
import static wheelroute.kit.process.FaultTables.fault;

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

/** Tests complete runs in real time, in which each dispatcher is a process of its own. */
public class ProcessRunTest {
    private static final long SEED = 3;
    private static final double SECONDS = 4;

    /**
     * Largest difference between the fractions of requests answered in time under the real and the
     * virtual clock.
     */
    private static final double SERVICE_TOLERANCE = 0.03;

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"none", ""},
            {"burst of errors", fault("burst", 1, 2, "group = \"far\"", "level = 0.5")},
            {
                "crash and cold restart of workers",
                fault("crash", 1, 2, "group = \"near\"", "share = 0.5")
            },
            {"drain of workers", fault("drain", 0.5, 3, "group = \"near\"", "share = 0.5")},
            {"unreachable machine", fault("vanish", 1, 2, "group = \"near\"", "share = 0.5")},
            {"outage of discovery", fault("list-down", 1, 2)},
            {"kill of a dispatcher", fault("dispatcher-kill", 1, 1, "share = 0.5")},
            {"restart of a dispatcher", fault("dispatcher-restart", 1, 2, "share = 0.5")},
            {"clients that cancel", "[clients]\nimpatient = 0.5\nretries = 1\n"},
        };
    }

    @Test(dataProvider = "faults")
    public void keepsRulesDuringFault(String name, String scenarioText) throws Exception {
        // Uses two dispatchers for faults of dispatchers, because a single one could not answer in
        // time the requests that it reads late after its start.
        int dispatchers = scenarioText.contains("dispatcher-") ? 2 : 1;
        Report report =
                JudgedRuns.run(SmallScenario.scenario(scenarioText, dispatchers), SEED, SECONDS);
        Report.Row all = report.total();
        JudgedRuns.assertEachRequestEndedOnce(all, name);
        assertTrue(all.requested() > 120, TableWriter.text(report));
        JudgedRuns.assertKeepsRules(report);
        assertTrue(all.inTime() > all.requested() / 4, TableWriter.text(report));
    }

    /** Detects deviations of the simulation model from runs on real sockets. */
    @Test
    public void agreesWithSimulation() throws Exception {
        Scenario scenario = SmallScenario.scenario("");
        Report real = JudgedRuns.run(scenario, SEED, SECONDS);
        Report virtual =
                SimulationRun.run(
                        scenario,
                        SEED,
                        SECONDS,
                        Map.of(),
                        "as-built",
                        w -> Strategies.factory(Strategies.POLICY, w),
                        () -> false);
        assertEquals(real.total().requested(), virtual.total().requested());
        assertEquals(real.total().service(), virtual.total().service(), SERVICE_TOLERANCE);
    }

    @Test
    public void failsIfDaemonDoesNotStart() throws Exception {
        Path invalidJar = Files.createTempFile("none", ".jar");
        ProcessRun.Options options =
                new ProcessRun.Options(
                        SmallScenario.scenario(""), SEED, 5, Map.of(), "x", invalidJar, null);
        RehearsalException e =
                expectThrows(
                        RehearsalException.class,
                        () -> ProcessRun.run(options, () -> false, text -> {}));
        assertTrue(e.getMessage().contains("n0 did not start"), e.getMessage());
        Files.delete(invalidJar);
    }
}
