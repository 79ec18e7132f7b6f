package wheelroute.kit.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import wheelroute.kit.experiment.Plan;
import wheelroute.kit.report.HtmlWriter;
import wheelroute.kit.report.JsonWriter;
import wheelroute.kit.scenario.ScenarioException;
import wheelroute.kit.scenario.ScenarioLibrary;

@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        description = "Run scenarios against the dispatcher, check the rules, and report.")
final class Rehearse implements Callable<Integer> {
    @Mixin private PlanOptions planOptions;

    @Option(
            names = "--twice",
            description = "run everything twice and require the same figures from the same seed")
    private boolean twice;

    @Option(
            names = "--cores",
            paramLabel = "N",
            description =
                    "runs in parallel (default: all cores on the virtual clock, 1 on the real"
                            + " clock)")
    private Integer parallelRuns;

    @Option(
            names = "--cut-down",
            paramLabel = "FILE",
            description =
                    "minimize the faults of the first run that fails, as long as the run still"
                            + " fails, and write them as a scenario")
    private Path minimizedPath;

    @Option(names = "--json", paramLabel = "FILE", description = "write the reports as JSON")
    private Path json;

    @Option(
            names = "--html",
            paramLabel = "FILE",
            description = "write the reports as one page with plots")
    private Path html;

    @Option(names = "--list", description = "list the shipped scenarios")
    private boolean list;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        if (list) {
            listScenarios(out);
            return ExitCode.SUCCESS;
        }
        if (parallelRuns != null && parallelRuns < 1) {
            throw new CommandLineException("--cores: expected at least 1, got " + parallelRuns);
        }
        List<Plan> plans = planOptions.plans();
        StopSignal stop = null;
        try (OutputFile jsonFile = OutputFile.open("--json", json);
                OutputFile htmlFile = OutputFile.open("--html", html);
                OutputFile minimizedFile = OutputFile.open("--cut-down", minimizedPath)) {
            stop = new StopSignal();
            Rehearsal rehearsal =
                    new Rehearsal(plans, parallelRuns, twice, stop, this::printProgress);
            rehearsal.run();
            rehearsal.print(out);
            jsonFile.write(JsonWriter.text(rehearsal.reports()));
            htmlFile.write(HtmlWriter.text(rehearsal.reports(), rehearsal.comparison()));
            if (minimizedPath != null) {
                new FailureMinimizer(plans, rehearsal.reports(), stop, this::printProgress)
                        .minimizeFirst(minimizedFile, out);
            }
            return rehearsal.exitCode();
        } finally {
            if (stop != null) {
                stop.onCommandFinished();
            }
        }
    }

    private static void listScenarios(PrintWriter out) throws ScenarioException {
        for (String name : ScenarioLibrary.NAMES) {
            out.printf("%-20s %s%n", name, ScenarioLibrary.find(name).title());
        }
        out.flush();
    }

    private void printProgress(String line) {
        PrintWriter err = spec.commandLine().getErr();
        err.println(line);
        err.flush();
    }
}
