package wheelroute.kit.cli;

import java.io.IOException;
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
        description = "Work the tables of a capacity page out from the slopes of a scale run.")
final class Capacity implements Callable<Integer> {
    static final String SIZE = "docs/capacity/size.toml";

    /** One of the three. */
    static final class What {
        @Option(
                names = "--check",
                paramLabel = "PAGE",
                required = true,
                description = "end with 3 where the page says something else")
        private Path check;

        @Option(
                names = "--write",
                paramLabel = "PAGE",
                required = true,
                description = "put them on the page")
        private Path write;

        @Option(names = "--print", required = true, description = "print them")
        private boolean print;
    }

    @ArgGroup(multiplicity = "1")
    private What what;

    @Option(
            names = "--slopes",
            paramLabel = "FILE",
            defaultValue = "docs/capacity/slopes.json",
            description = "default: ${DEFAULT-VALUE}")
    private Path slopes;

    @Option(
            names = "--size",
            paramLabel = "FILE",
            defaultValue = SIZE,
            description = "default: ${DEFAULT-VALUE}")
    private Path size;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        Map<String, String> tables;
        try {
            ScaleResults found = ScaleResults.read(Files.readString(existing("--slopes", slopes)));
            tables =
                    new CapacityModel(found, DeploymentSize.read(existing("--size", size)))
                            .tables();
        } catch (IOException | IllegalArgumentException e) {
            throw new CommandLineException(slopes + ": " + e.getMessage());
        }
        if (what.print) {
            tables.forEach(
                    (name, table) -> spec.commandLine().getOut().println(name + "\n" + table));
        } else if (what.write != null) {
            String page = Files.readString(existing("--write", what.write));
            Files.writeString(what.write, CapacityPage.withTables(page, tables));
        } else {
            List<String> faults =
                    CapacityPage.mismatches(
                            Files.readString(existing("--check", what.check)), tables);
            faults.forEach(spec.commandLine().getOut()::println);
            spec.commandLine()
                    .getOut()
                    .println(
                            what.check
                                    + (faults.isEmpty()
                                            ? " follows from "
                                            : " does not" + " follow from ")
                                    + slopes);
            return faults.isEmpty() ? Exit.HOLDS : Exit.DOES_NOT_HOLD;
        }
        return Exit.HOLDS;
    }

    static Path existing(String option, Path path) throws CommandLineException {
        if (!Files.isRegularFile(path)) {
            throw new CommandLineException(option + ": " + path + " is no file");
        }
        return path;
    }
}
