package wheelroute.kit.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import wheelroute.config.Config;
import wheelroute.config.ConfigException;
import wheelroute.config.ConfigReader;
import wheelroute.kit.scenario.DaemonSettings;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.scenario.ScenarioException;
import wheelroute.kit.scenario.ScenarioReader;

@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Validate a scenario or a dispatcher's configuration and report all its errors.")
final class Check implements Callable<Integer> {
    /** Matches a file with the key listen, which only a dispatcher's configuration has. */
    private static final String CONFIGURATION_PATTERN = "(?s)(^|.*\\n)\\s*listen\\s*=.*";

    @Parameters(paramLabel = "FILE", description = "a scenario or a configuration, TOML or JSON")
    private Path file;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (!Files.isRegularFile(file)) {
            throw new CommandLineException(file + " is not a regular file");
        }
        String summary = isScenario() ? checkScenario() : checkConfiguration();
        spec.commandLine().getOut().println(file + ": " + summary);
        return ExitCode.SUCCESS;
    }

    private boolean isScenario() throws IOException {
        return file.toString().endsWith(".toml")
                && !Files.readString(file).matches(CONFIGURATION_PATTERN);
    }

    private String checkScenario() throws ScenarioException, ConfigException {
        Scenario scenario = ScenarioReader.read(file);
        DaemonSettings.settings(0, DaemonSettings.settingsByPath(scenario, Map.of()));
        return "a scenario of "
                + scenario.workerCount()
                + " workers, "
                + scenario.requestClasses().size()
                + " request classes, "
                + scenario.faults().size()
                + " faults";
    }

    private String checkConfiguration() throws IOException, ConfigException {
        Map<String, String> environment = new HashMap<>(System.getenv());
        environment.put("LB_CONFIG", file.toString());
        Config config = ConfigReader.read(environment);
        return "a configuration of "
                + config.settings().requestClasses().size()
                + " request classes";
    }
}
