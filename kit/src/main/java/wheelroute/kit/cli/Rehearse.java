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
            description = "run everything twice: the same seed must give the same figures")
    private boolean twice;

    @Option(
            names = "--cores",
            paramLabel = "N",
            description =
                    "runs in parallel (default: on the virtual clock all cores, on the real one 1)")
    private Integer cores;

    @Option(
            names = "--cut-down",
            paramLabel = "FILE",
            description =
                    "reduce the faults of the first run that does not hold, as long as it still"
                            + " does not, and write them as a scenario")
    private Path cutDown;

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
            return Exit.HOLDS;
        }
        if (cores != null && cores < 1) {
            throw new CommandLineException("--cores: " + cores + " is under 1");
        }
        List<Plan> plans = planOptions.plans();
        StopSignal stop = null;
        try (OutputFile jsonFile = OutputFile.open("--json", json);
                OutputFile htmlFile = OutputFile.open("--html", html);
                OutputFile minimizedFile = OutputFile.open("--cut-down", cutDown)) {
            stop = new StopSignal();
            Rehearsal rehearsal = new Rehearsal(plans, cores, twice, stop, this::printProgress);
            rehearsal.run();
            rehearsal.print(out);
            jsonFile.write(JsonWriter.text(rehearsal.reports()));
            htmlFile.write(HtmlWriter.text(rehearsal.reports(), rehearsal.comparison()));
            if (cutDown != null) {
                new FailureMinimizer(plans, rehearsal.reports(), stop, this::printProgress)
                        .minimizeFirst(minimizedFile, out);
            }
            return rehearsal.exitCode();
        } finally {
            if (stop != null) {
                stop.finished();
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
