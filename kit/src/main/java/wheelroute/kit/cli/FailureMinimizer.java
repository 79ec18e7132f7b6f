package wheelroute.kit.cli;

import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import wheelroute.config.ConfigException;
import wheelroute.kit.experiment.Matrix;
import wheelroute.kit.experiment.Plan;
import wheelroute.kit.faults.ScheduleMinimizer;
import wheelroute.kit.process.RehearsalException;
import wheelroute.kit.report.Report;
import wheelroute.kit.scenario.FaultScheduleGenerator;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.scenario.ScenarioWriter;

/** Minimizes the fault schedule of a failed run by repeating the run with fewer faults. */
final class FailureMinimizer {
    private static final int MAX_RUNS = 60;

    private final List<Plan> plans;
    private final List<Report> reports;
    private final BooleanSupplier stop;
    private final Consumer<String> progress;

    /**
     * Creates a minimizer for plans that have been run.
     *
     * @param reports the reports of the plans' runs
     * @param stop after this returns true, no run is counted as failing
     * @param progress receives one line with the result of each run
     */
    FailureMinimizer(
            List<Plan> plans,
            List<Report> reports,
            BooleanSupplier stop,
            Consumer<String> progress) {
        this.plans = plans;
        this.reports = reports;
        this.stop = stop;
        this.progress = progress;
    }

    /** Minimizes the first failed run, if there is one, and writes it to the file as a scenario. */
    void minimizeFirst(OutputFile file, PrintWriter out) throws Exception {
        for (Plan plan : plans) {
            for (Plan.Item item : plan.items()) {
                if (isFailed(plan, item)) {
                    minimize(plan, item, file, out);
                    return;
                }
            }
        }
    }

    private boolean isFailed(Plan plan, Plan.Item item) {
        return reports.stream()
                .filter(report -> isReportOf(report.run(), plan, item))
                .findFirst()
                .filter(report -> report.judgement() == Report.Judgement.DOES_NOT_HOLD)
                .isPresent();
    }

    private static boolean isReportOf(Report.Run run, Plan plan, Plan.Item item) {
        return run.scenario().equals(item.scenario().name())
                && run.seed() == item.seed()
                && run.variant().equals(item.variant().name())
                && run.clock().equals(plan.clock().label());
    }

    private void minimize(Plan plan, Plan.Item item, OutputFile file, PrintWriter out)
            throws Exception {
        Scenario scenario = FaultScheduleGenerator.withRandomFaults(item.scenario(), item.seed());
        Matrix matrix = new Matrix(plan, 1, stop, line -> {});
        ScheduleMinimizer.Result result =
                ScheduleMinimizer.of(
                        scenario.faults(),
                        MAX_RUNS,
                        faults -> isFailing(matrix, item.with(scenario.withFaults(faults))));
        String summary =
                " of " + scenario.faults().size() + " faults in " + result.runs() + " runs";
        file.write(
                "# Seed "
                        + item.seed()
                        + ", reduced to "
                        + result.faults().size()
                        + summary
                        + (result.complete() ? "" : " (reduction incomplete)")
                        + "; repeat the run with this seed.\n"
                        + ScenarioWriter.text(scenario.withFaults(result.faults())));
        out.println(item.text() + ": reduced to " + result.faults().size() + summary);
    }

    private boolean isFailing(Matrix matrix, Plan.Item item)
            throws RehearsalException, ConfigException {
        Report report = matrix.run(item);
        progress.accept(
                "with "
                        + item.scenario().faults().size()
                        + " faults: "
                        + report.judgement().name().toLowerCase(Locale.ROOT));
        return !stop.getAsBoolean() && report.judgement() == Report.Judgement.DOES_NOT_HOLD;
    }
}
