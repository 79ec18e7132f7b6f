package wheelroute.kit.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import wheelroute.kit.process.StubRun;
import wheelroute.kit.scenario.ScenarioLibrary;

@Command(
        name = "stand-in",
        mixinStandardHelpOptions = true,
        description =
                "Run the stub workers and discovery of a scenario on loopback, for a dispatcher"
                        + " that you start yourself.")
final class StandIn implements Callable<Integer> {
    @Parameters(
            arity = "0..1",
            paramLabel = "NAME|FILE",
            defaultValue = "calm",
            description = "the scenario of workers and faults (default: ${DEFAULT-VALUE})")
    private String name;

    @Option(
            names = "--seed",
            defaultValue = "1",
            paramLabel = "N",
            description = "seed of the random numbers (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--discovery",
            defaultValue = "8500",
            paramLabel = "PORT",
            description = "discovery's port (default: ${DEFAULT-VALUE}); 0 for any")
    private int discoveryPort;

    @Option(
            names = "--workers",
            defaultValue = "0",
            paramLabel = "PORT",
            description =
                    "port of the first worker, the others get the ports after it; 0 for any"
                            + " (default)")
    private int firstWorkerPort;

    @Option(
            names = "--seconds",
            defaultValue = "3600",
            paramLabel = "S",
            description = "duration of the run in seconds (default: ${DEFAULT-VALUE})")
    private double durationSeconds;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        StopSignal stop = new StopSignal();
        try {
            StubRun.run(
                    ScenarioLibrary.find(name),
                    seed,
                    durationSeconds,
                    discoveryPort,
                    firstWorkerPort,
                    stop,
                    this::printLine);
        } finally {
            stop.onCommandFinished();
        }
        return ExitCode.SUCCESS;
    }

    private void printLine(String line) {
        spec.commandLine().getOut().println(line);
        spec.commandLine().getOut().flush();
    }
}
