package wheelroute.kit.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.kit.SmallScenario;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.scenario.ScenarioReader;

/** Tests the speed and the overload limit of a worker that has just started. */
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
            // The columns are the mean work of a request, the work that arrives at once, and
            // whether the worker stays up.
            // The limit is 4 times the capacity of 2 slots in 3 s at a ramp fraction of 0.2: 4.8 s.
            {"0", 4.7, true},
            {"0", 4.9, false},
            // The limit is 9.6 requests, and 2 sqrt(9.6) + 2 more for the variance of arrivals.
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
