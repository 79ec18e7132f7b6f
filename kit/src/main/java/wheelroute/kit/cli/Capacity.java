package wheelroute.kit.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import wheelroute.kit.scale.CapacityModel;
import wheelroute.kit.scale.CapacityPage;
import wheelroute.kit.scale.DeploymentSize;
import wheelroute.kit.scale.ScaleResults;

@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description = "Compute the tables of a capacity page from the slopes of a scale run.")
final class Capacity implements Callable<Integer> {
    static final String DEFAULT_SIZE_FILE = "docs/capacity/size.toml";

    /** The options that select what to do with the tables; exactly one of them is required. */
    static final class Action {
        @Option(
                names = "--check",
                paramLabel = "PAGE",
                required = true,
                description = "exit with code 3 if the tables in the page differ")
        private Path check;

        @Option(
                names = "--write",
                paramLabel = "PAGE",
                required = true,
                description = "write the tables into the page")
        private Path write;

        @Option(names = "--print", required = true, description = "print the tables")
        private boolean print;
    }

    @ArgGroup(multiplicity = "1")
    private Action action;

    @Option(
            names = "--slopes",
            paramLabel = "FILE",
            defaultValue = "docs/capacity/slopes.json",
            description = "the slopes of a scale run (default: ${DEFAULT-VALUE})")
    private Path slopes;

    @Option(
            names = "--size",
            paramLabel = "FILE",
            defaultValue = DEFAULT_SIZE_FILE,
            description = "the deployment's size (default: ${DEFAULT-VALUE})")
    private Path size;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        Map<String, String> tables = tables();
        PrintWriter out = spec.commandLine().getOut();
        if (action.print) {
            tables.forEach((name, table) -> out.println(name + "\n" + table));
        } else if (action.write != null) {
            String page = Files.readString(requireRegularFile("--write", action.write));
            Files.writeString(action.write, CapacityPage.withTables(page, tables));
        } else {
            return check(tables, out);
        }
        return ExitCode.SUCCESS;
    }

    private Map<String, String> tables() throws CommandLineException {
        try {
            ScaleResults results =
                    ScaleResults.read(Files.readString(requireRegularFile("--slopes", slopes)));
            DeploymentSize deployment = DeploymentSize.read(requireRegularFile("--size", size));
            return new CapacityModel(results, deployment).tables();
        } catch (IOException | IllegalArgumentException e) {
            throw new CommandLineException(slopes + ": " + e.getMessage());
        }
    }

    private int check(Map<String, String> tables, PrintWriter out)
            throws IOException, CommandLineException {
        String page = Files.readString(requireRegularFile("--check", action.check));
        List<String> differences = CapacityPage.mismatches(page, tables);
        differences.forEach(out::println);
        String verb = differences.isEmpty() ? " matches " : " does not match ";
        out.println(action.check + verb + slopes);
        return differences.isEmpty() ? ExitCode.SUCCESS : ExitCode.CHECK_FAILED;
    }

    /** Returns the path given to an option; throws if there is no regular file at it. */
    static Path requireRegularFile(String option, Path path) throws CommandLineException {
        if (!Files.isRegularFile(path)) {
            throw new CommandLineException(option + ": " + path + " is not a regular file");
        }
        return path;
    }
}
