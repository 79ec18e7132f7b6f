package wheelroute.kit.cli;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import wheelroute.config.ConfigException;
import wheelroute.kit.experiment.Agreement;
import wheelroute.kit.experiment.Comparison;
import wheelroute.kit.experiment.Matrix;
import wheelroute.kit.experiment.Plan;
import wheelroute.kit.process.RehearsalException;
import wheelroute.kit.report.Report;
import wheelroute.kit.report.TableWriter;

/** Runs the plans of a rehearsal, prints their results and determines the exit code. */
final class Rehearsal {
    private final List<Plan> plans;

    /** The number of runs in parallel; null for the default of each clock. */
    private final Integer parallelRuns;

    private final boolean twice;
    private final StopSignal stop;
    private final Consumer<String> progress;
    private final List<Report> reports = new ArrayList<>();

    /** The reports of each repetition, in the order of plans and repetitions. */
    private final List<List<Report>> repetitions = new ArrayList<>();

    private boolean agrees = true;

    /**
     * Creates a rehearsal that has not run.
     *
     * @param parallelRuns the number of runs in parallel; null for the default of each clock
     * @param twice whether every plan is run twice and the results are compared
     */
    Rehearsal(
            List<Plan> plans,
            Integer parallelRuns,
            boolean twice,
            StopSignal stop,
            Consumer<String> progress) {
        this.plans = plans;
        this.parallelRuns = parallelRuns;
        this.twice = twice;
        this.stop = stop;
        this.progress = progress;
    }

    /** Runs all plans; after the stop signal, no further run begins. */
    void run() throws RehearsalException, ConfigException {
        int repetitionCount = twice ? 2 : 1;
        for (Plan plan : plans) {
            for (int i = 0; i < repetitionCount && !stop.getAsBoolean(); i++) {
                List<Report> repetition =
                        new Matrix(plan, parallelRuns(plan), stop, progress).run();
                repetitions.add(repetition);
                if (i == 0) {
                    reports.addAll(repetition);
                }
            }
        }
    }

    /**
     * Returns the number of runs in parallel. The default on the real clock is 1 because parallel
     * runs would compete for the cores and disturb each other.
     */
    private int parallelRuns(Plan plan) {
        if (parallelRuns != null) {
            return parallelRuns;
        }
        return plan.clock() == Plan.Clock.REAL ? 1 : Runtime.getRuntime().availableProcessors();
    }

    /** Returns the reports of the first repetition of each plan. */
    List<Report> reports() {
        return reports;
    }

    /** Returns the comparison of the runs as text; empty if there is nothing to compare. */
    String comparison() {
        return reports.size() > 1 && plans.size() == 1
                ? Comparison.text(Comparison.of(reports))
                : "";
    }

    /** Prints the reports, their comparison, and whether repetitions and clocks agree. */
    void print(PrintWriter out) {
        for (Report report : reports) {
            out.println(TableWriter.text(report));
        }
        out.print(comparison());
        if (!stop.getAsBoolean()) {
            for (Agreement agreement : agreements()) {
                out.print(agreement.text());
                agrees &= agreement.holds();
            }
        }
        out.flush();
    }

    private List<Agreement> agreements() {
        List<Agreement> agreements = new ArrayList<>();
        if (twice) {
            for (int i = 0; i < repetitions.size(); i += 2) {
                agreements.add(Agreement.ofRepetitions(repetitions.get(i), repetitions.get(i + 1)));
            }
        }
        if (plans.size() > 1) {
            List<Report> lastClock = repetitions.get(repetitions.size() - 1);
            agreements.add(Agreement.ofClocks(repetitions.get(0), lastClock));
        }
        return agreements;
    }

    /**
     * Returns the exit code. Expectations must hold for the first variant only, as the others serve
     * for comparison, but every run must have been judged.
     */
    int exitCode() {
        if (stop.getAsBoolean()) {
            return ExitCode.STOPPED;
        }
        String firstVariant = plans.get(0).variants().get(0).name();
        Set<Report.Judgement> judgements =
                reports.stream()
                        .filter(report -> report.run().variant().equals(firstVariant))
                        .map(Report::judgement)
                        .collect(Collectors.toSet());
        if (judgements.contains(Report.Judgement.DOES_NOT_HOLD)) {
            return ExitCode.CHECK_FAILED;
        }
        if (reports.stream().anyMatch(r -> r.judgement() == Report.Judgement.NOT_JUDGED)) {
            return ExitCode.NOT_JUDGED;
        }
        return agrees ? ExitCode.SUCCESS : ExitCode.CHECK_FAILED;
    }
}
