package wheelroute.kit.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.kit.SmallScenario;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.scenario.ScenarioReader;

/** A worker that has just started: its speed, and the work under which it collapses. */
public class SlowStartModelTest {
    @Test
    public void startsAttemptsAtFractionOfSpeed() {
        WorkerHarness harness = new WorkerHarness();
        harness.restart();
        harness.send("a", 0.1);
        harness.assertResponses("a started 0.00", "a SUCCEEDED 0.50");
    }

    @Test
    public void losesAllConnectionsInCollapse() {
        WorkerHarness harness = new WorkerHarness();
        harness.restart();
        harness.send("a", 4.7);
        harness.send("b", 0.2);
        assertFalse(harness.worker.isUp());
        harness.assertResponses(
                "a started 0.00", "b CONNECTION_LOST 0.00", "a CONNECTION_LOST 0.00");
    }

    @DataProvider
    public Object[][] overloads() {
        return new Object[][] {
            // mean work of a request, work that arrives at once, whether the worker stays up:
            // the limit is 4 times a ramp fraction of 0.2 of 2 slots in 3 s, 4.8 s
            {"0", 4.7, true},
            {"0", 4.9, false},
            // 9.6 requests, and by chance 2 sqrt(9.6) + 2 more of them
            {"0.5", 8.8, true},
            {"0.5", 9.0, false},
        };
    }

    @Test(dataProvider = "overloads")
    public void collapsesAboveMultipleOfCapacity(
            String meanWorkSeconds, double workSeconds, boolean staysUp) throws Exception {
        String text =
                SmallScenario.TEXT.replace(
                        "cold_for = 10", "cold_for = 10\ntip_request = " + meanWorkSeconds);
        Scenario scenario = ScenarioReader.read("small", text);
        WorkerHarness harness = new WorkerHarness(scenario);
        harness.restart();
        harness.send("a", workSeconds / 2);
        harness.send("b", workSeconds / 2);
        assertEquals(harness.worker.isUp(), staysUp);
    }
}
