package wheelroute.kit.simulation;

import java.util.Map;
import wheelroute.kit.report.Report;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.strategy.Strategies;

/** Runs scenarios on the virtual clock, with their own settings. */
public final class SimulatedRuns {
    private SimulatedRuns() {}

    /** Runs a scenario with the dispatcher's own policy. */
    public static Report run(Scenario scenario, long seed, double seconds) throws Exception {
        return run(scenario, seed, seconds, Strategies.POLICY);
    }

    /** Runs a scenario with the strategy of this name, one of {@link Strategies#names}. */
    public static Report run(Scenario scenario, long seed, double seconds, String strategy)
            throws Exception {
        return SimulationRun.run(
                scenario,
                seed,
                seconds,
                Map.of(),
                strategy,
                cluster -> Strategies.factory(strategy, cluster),
                () -> false);
    }
}
