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
                "Measure what dispatchers and a list service cost as workers, changes, launches,"
                        + " tenants and dispatchers grow, and hold it against a size.")
final class Scale implements Callable<Integer> {
    /** One of the two. */
    static final class Kind {
        // Read by nobody: it only names the default.
        @SuppressWarnings("UnusedVariable")
        @Option(names = "--quick", description = "small sizes, under a minute (the default)")
        private boolean quick;

        @Option(
                names = "--full",
                description = "to 30,000 workers and 300 dispatchers, some minutes")
        private boolean full;
    }

    @ArgGroup private Kind kind;

    @Option(
            names = "--size",
            paramLabel = "FILE",
            defaultValue = Capacity.SIZE,
            description = "the size to hold it against (default: ${DEFAULT-VALUE})")
    private Path size;

    @Option(names = "--json", paramLabel = "FILE", description = "keep the slopes there")
    private Path json;

    @Option(names = "--html", paramLabel = "FILE", description = "draw them on a page there")
    private Path html;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        DeploymentSize wanted = DeploymentSize.read(Capacity.existing("--size", size));
        OutputFile jsonFile = null;
        OutputFile htmlFile = null;
        StopSignal stop = new StopSignal();
        try {
            jsonFile = OutputFile.open("--json", json);
            htmlFile = OutputFile.open("--html", html);
            boolean full = kind != null && kind.full;
            ScaleResults slopes =
                    ScaleRun.run(
                            full ? ScalePlan.full() : ScalePlan.quick(),
                            stop,
                            text -> {
                                err.println(text);
                                err.flush();
                            });
            CapacityModel reckoning = new CapacityModel(slopes, wanted);
            List<String> over = reckoning.verdict();
            reckoning.tables().forEach((name, table) -> out.println(name + "\n" + table));
            if (jsonFile != null) {
                jsonFile.write(slopes.json());
            }
            if (htmlFile != null) {
                htmlFile.write(ScalePage.text(slopes, over));
            }
            over.forEach(out::println);
            out.println(
                    !slopes.notJudged().isEmpty()
                            ? "not judged: " + slopes.notJudged()
                            : over.isEmpty()
                                    ? "the size '" + wanted.name() + "' fits"
                                    : "the size '" + wanted.name() + "' does not fit");
            out.flush();
            return !slopes.notJudged().isEmpty()
                    ? Exit.NOT_JUDGED
                    : over.isEmpty() ? Exit.HOLDS : Exit.DOES_NOT_HOLD;
        } finally {
            if (jsonFile != null) {
                jsonFile.drop();
            }
            if (htmlFile != null) {
                htmlFile.drop();
            }
            stop.finished();
        }
    }
}
