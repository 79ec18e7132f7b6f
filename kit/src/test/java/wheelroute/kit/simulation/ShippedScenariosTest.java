package wheelroute.kit.simulation;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.kit.experiment.Plan;
import wheelroute.kit.report.Report;
import wheelroute.kit.report.TableWriter;
import wheelroute.kit.scenario.MetricNames;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.scenario.ScenarioException;
import wheelroute.kit.scenario.ScenarioLibrary;
import wheelroute.kit.strategy.Strategies;

/** Runs shipped scenarios on the virtual clock, with the policy and with the baselines. */
public class ShippedScenariosTest {
    /** Scenarios with more dispatchers run for a third of the time, to keep the test short. */
    private static final int MAX_DISPATCHERS_OF_FULL_RUNS = 10;

    private static final int SLOW_START_SEEDS = 50;

    /** Minimum by which the policy's service exceeds that of any baseline under overload. */
    private static final double MIN_SERVICE_ADVANTAGE = 0.1;

    @DataProvider
    public Object[][] simulatedScenarios() throws ScenarioException {
        List<Object[]> rows = new ArrayList<>();
        for (String name : ScenarioLibrary.NAMES) {
            if (ScenarioLibrary.find(name).clocks().contains(Plan.Clock.VIRTUAL.label())) {
                rows.add(new Object[] {name});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    @Test(dataProvider = "simulatedScenarios")
    public void policyMeetsExpectations(String name) throws Exception {
        Scenario scenario = ScenarioLibrary.find(name);
        double seconds =
                scenario.dispatcherCount() > MAX_DISPATCHERS_OF_FULL_RUNS
                        ? Plan.QUICK_SECONDS / 3
                        : Plan.QUICK_SECONDS;
        Report report = SimulatedRuns.run(scenario, 7, seconds);
        assertTrue(report.holds(), TableWriter.text(report));
    }

    /**
     * Guards against overload of a worker in slow start by many dispatchers together, of which each
     * sees only its own attempts.
     */
    @Test
    public void thirtyDispatchersTogetherOverloadNoWorkerInSlowStart() throws Exception {
        Scenario scenario = ScenarioLibrary.find("cold-thirty");
        for (int seed = 1; seed <= SLOW_START_SEEDS; seed++) {
            Report report = SimulatedRuns.run(scenario, seed, Plan.QUICK_SECONDS / 2);
            assertTrue(report.keepsRules(), "seed " + seed + ": " + TableWriter.text(report));
        }
    }

    @Test
    public void baselinesKeepRulesButServeLessThanPolicy() throws Exception {
        Scenario scenario = ScenarioLibrary.find("overload");
        double policyService =
                SimulatedRuns.run(scenario, 3, Plan.QUICK_SECONDS)
                        .metrics()
                        .get(MetricNames.SERVICE);
        for (String strategy : Strategies.names()) {
            Report report = SimulatedRuns.run(scenario, 3, Plan.QUICK_SECONDS, strategy);
            assertTrue(report.keepsRules(), TableWriter.text(report));
            if (!strategy.equals(Strategies.POLICY) && !strategy.equals(Strategies.ORACLE)) {
                double service = report.metrics().get(MetricNames.SERVICE);
                assertTrue(
                        service < policyService - MIN_SERVICE_ADVANTAGE,
                        "service of "
                                + strategy
                                + " "
                                + service
                                + ", of the policy "
                                + policyService);
            }
        }
    }
}
