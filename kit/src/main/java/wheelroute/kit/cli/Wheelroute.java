package wheelroute.kit.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;
import wheelroute.config.ConfigException;
import wheelroute.kit.process.RehearsalException;
import wheelroute.kit.scenario.ScenarioException;

/** The command line of the dispatcher and its test kit. */
@Command(
        name = "wheelroute",
        mixinStandardHelpOptions = true,
        versionProvider = Wheelroute.Version.class,
        description =
                "A dispatcher that runs beside each client and sends its requests to workers, and"
                        + " its test kit.",
        subcommands = {
            Serve.class,
            Adapter.class,
            Rehearse.class,
            Check.class,
            Load.class,
            StandIn.class,
            Admin.class,
            Peers.class,
            Scale.class,
            Capacity.class,
            AutoComplete.GenerateCompletion.class
        },
        footer = {
            "",
            "Exit codes: 0 success, all expectations hold; 1 an input is invalid, or a run could"
                    + " not be completed; 2 wrong usage; 3 a rule was broken or an expectation does"
                    + " not hold; 4 the machine is too slow for the load; 130 stopped by a signal."
        })
public final class Wheelroute implements Callable<Integer> {
    @Spec private CommandSpec spec;

    /** Provides the version that the build writes into the manifest of the jar. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Wheelroute.class.getPackage().getImplementationVersion();
            return new String[] {
                "wheelroute " + (version == null ? "(not built as a jar)" : version)
            };
        }
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return ExitCode.USAGE_ERROR;
    }

    static CommandLine commandLine() {
        CommandLine line = new CommandLine(new Wheelroute());
        line.setExecutionExceptionHandler(
                (e, command, parsed) -> {
                    if (e instanceof CommandLineException
                            || e instanceof ScenarioException
                            || e instanceof ConfigException
                            || e instanceof RehearsalException
                            || e instanceof IOException) {
                        command.getErr().println("wheelroute: " + e.getMessage());
                        return ExitCode.INVALID_INPUT;
                    }
                    throw e;
                });
        line.setCaseInsensitiveEnumValuesAllowed(true);
        return line;
    }

    /** Runs the given command and ends the process with its exit code. */
    public static void main(String[] args) {
        System.exit(commandLine().execute(args));
    }
}
