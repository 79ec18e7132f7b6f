package wheelroute.kit.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import wheelroute.kit.scale.CapacityModel;
import wheelroute.kit.scale.DeploymentSize;
import wheelroute.kit.scale.ScalePage;
import wheelroute.kit.scale.ScalePlan;
import wheelroute.kit.scale.ScaleResults;
import wheelroute.kit.scale.ScaleRun;

@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description =
                "Measure what dispatchers and discovery cost as workers, changes, attempts, tenants"
                        + " and dispatchers grow, and compare it with a deployment's size.")
final class Scale implements Callable<Integer> {
    /** The options that select the size of the measurement; at most one of them is given. */
    static final class PlanSize {
        // The field is never read because the option only names the default.
        @SuppressWarnings("UnusedVariable")
        @Option(names = "--quick", description = "small sizes, takes under a minute (the default)")
        private boolean quick;

        @Option(
                names = "--full",
                description = "up to 30,000 workers and 300 dispatchers, takes some minutes")
        private boolean full;
    }

    @ArgGroup private PlanSize planSize;

    @Option(
            names = "--size",
            paramLabel = "FILE",
            defaultValue = Capacity.DEFAULT_SIZE_FILE,
            description = "the deployment's size (default: ${DEFAULT-VALUE})")
    private Path size;

    @Option(names = "--json", paramLabel = "FILE", description = "write the slopes as JSON")
    private Path json;

    @Option(names = "--html", paramLabel = "FILE", description = "write a page with plots")
    private Path html;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        DeploymentSize deployment =
                DeploymentSize.read(Capacity.requireRegularFile("--size", size));
        StopSignal stop = new StopSignal();
        try (OutputFile jsonFile = OutputFile.open("--json", json);
                OutputFile htmlFile = OutputFile.open("--html", html)) {
            ScaleResults results = ScaleRun.run(plan(), stop, this::printProgress);
            CapacityModel capacity = new CapacityModel(results, deployment);
            List<String> exceeded = capacity.exceededBounds();
            PrintWriter out = spec.commandLine().getOut();
            capacity.tables().forEach((name, table) -> out.println(name + "\n" + table));
            jsonFile.write(results.json());
            htmlFile.write(ScalePage.text(results, exceeded));
            exceeded.forEach(out::println);
            out.println(verdict(results, deployment, exceeded));
            out.flush();
            return exitCode(results, exceeded);
        } finally {
            stop.onCommandFinished();
        }
    }

    private ScalePlan plan() {
        return planSize != null && planSize.full ? ScalePlan.full() : ScalePlan.quick();
    }

    private void printProgress(String line) {
        PrintWriter err = spec.commandLine().getErr();
        err.println(line);
        err.flush();
    }

    private static String verdict(
            ScaleResults results, DeploymentSize deployment, List<String> exceeded) {
        if (!results.invalidReason().isEmpty()) {
            return "not judged: " + results.invalidReason();
        }
        return "the size '"
                + deployment.name()
                + (exceeded.isEmpty() ? "' fits" : "' does not fit");
    }

    private static int exitCode(ScaleResults results, List<String> exceeded) {
        if (!results.invalidReason().isEmpty()) {
            return ExitCode.NOT_JUDGED;
        }
        return exceeded.isEmpty() ? ExitCode.SUCCESS : ExitCode.CHECK_FAILED;
    }
}
