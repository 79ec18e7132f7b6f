package wheelroute.kit.experiment;

import java.util.List;
import wheelroute.kit.SmallScenario;
import wheelroute.kit.report.Report;

/** A plan of six quick runs on the virtual clock, with two variants and three seeds. */
final class SmallPlan {
    static final String BASELINE = "round-robin";
    static final int RUN_COUNT = 6;

    static final Plan PLAN =
            new Plan(
                    List.of(SmallScenario.scenario("")),
                    List.of(1L, 2L, 3L),
                    List.of(Variant.DEFAULT, Variant.baseline(BASELINE)),
                    Plan.Clock.VIRTUAL,
                    0,
                    true,
                    null);

    private SmallPlan() {}

    /** Runs the plan, several runs in parallel. */
    static List<Report> run(int parallelRuns) throws Exception {
        return new Matrix(PLAN, parallelRuns, () -> false, line -> {}).run();
    }
}
