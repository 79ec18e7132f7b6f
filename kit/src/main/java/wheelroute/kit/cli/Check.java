package wheelroute.kit.cli;

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
import wheelroute.config.ConfigReader;
import wheelroute.kit.scenario.DaemonSettings;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.scenario.ScenarioReader;

@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Read a scenario or a daemon's configuration as a whole, and say what is wrong with"
                        + " it.")
final class Check implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "a scenario or a configuration, TOML or JSON")
    private Path file;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (!Files.isRegularFile(file)) {
            throw new CommandLineException(file + " is no file");
        }
        String text = Files.readString(file);
        boolean toml = file.toString().endsWith(".toml");
        String found;
        // What only a configuration has: where to listen.
        if (toml && !text.matches("(?s)(^|.*\\n)\\s*listen\\s*=.*")) {
            Scenario scenario = ScenarioReader.read(file);
            DaemonSettings.settings(0, DaemonSettings.pairs(scenario, Map.of()));
            found =
                    "a scenario of "
                            + scenario.workers()
                            + " workers, "
                            + scenario.requestClasses().size()
                            + " offerings, "
                            + scenario.faults().size()
                            + " faults";
        } else {
            Map<String, String> environment = new HashMap<>(System.getenv());
            environment.put("LB_CONFIG", file.toString());
            Config config = ConfigReader.read(environment);
            found =
                    "a configuration of "
                            + config.settings().requestClasses().size()
                            + " offerings";
        }
        spec.commandLine().getOut().println(file + ": " + found);
        return Exit.HOLDS;
    }
}
