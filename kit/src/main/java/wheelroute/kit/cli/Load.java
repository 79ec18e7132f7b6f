package wheelroute.kit.cli;

import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import wheelroute.config.SocketAddresses;
import wheelroute.decision.Idempotency;
import wheelroute.kit.process.LoadRun;

@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description = "Generate load for a dispatcher at an address of this machine.")
final class Load implements Callable<Integer> {
    private static final double MAX_RATE = 1e6;
    private static final int MAX_CONNECTIONS = 10_000;
    private static final double MIN_WORK_SECONDS = 1e-6;
    private static final double MAX_WORK_SECONDS = 3600;
    private static final double MAX_WORK_SIGMA = 4;
    private static final double MIN_TIMEOUT_SECONDS = 0.01;
    private static final double MAX_TIMEOUT_SECONDS = 3600;
    private static final double MIN_DURATION_SECONDS = 0.1;
    private static final double MAX_DURATION_SECONDS = 86_400;

    @Parameters(paramLabel = "HOST:PORT", description = "the dispatcher's address")
    private String address;

    @Option(
            names = "--offering",
            required = true,
            paramLabel = "NAME",
            description = "the request class")
    private String requestClass;

    @Option(
            names = "--keys",
            description = "send an Idempotency-Key with each request, which some classes require")
    private boolean sendKeys;

    @Option(
            names = "--rate",
            defaultValue = "0",
            paramLabel = "N",
            description = "open loop: requests per second")
    private double rate;

    @Option(
            names = "--connections",
            defaultValue = "0",
            paramLabel = "N",
            description = "closed loop: connections, each with one request in flight")
    private int connections;

    @Option(
            names = "--work",
            defaultValue = "0.05",
            paramLabel = "S",
            description = "mean work at stub workers, in seconds (default: ${DEFAULT-VALUE})")
    private double meanWorkSeconds;

    @Option(
            names = "--spread",
            defaultValue = "0.5",
            paramLabel = "X",
            description =
                    "standard deviation of the logarithm of the work (default: ${DEFAULT-VALUE})")
    private double workSigma;

    @Option(
            names = "--timeout",
            defaultValue = "5",
            paramLabel = "S",
            description = "timeout of a request in seconds (default: ${DEFAULT-VALUE})")
    private double timeoutSeconds;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            paramLabel = "S",
            description = "duration of the load in seconds (default: ${DEFAULT-VALUE})")
    private double durationSeconds;

    @Option(
            names = "--seed",
            defaultValue = "1",
            paramLabel = "N",
            description = "seed of the random numbers (default: ${DEFAULT-VALUE})")
    private long seed;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        InetSocketAddress dispatcher = parseAddress();
        checkOptions();
        StopSignal stop = new StopSignal();
        try {
            spec.commandLine().getOut().println(LoadRun.run(load(dispatcher), stop).text());
            spec.commandLine().getOut().flush();
        } finally {
            stop.onCommandFinished();
        }
        return ExitCode.SUCCESS;
    }

    private InetSocketAddress parseAddress() throws CommandLineException {
        InetSocketAddress parsed = SocketAddresses.parse(address);
        if (parsed == null) {
            throw new CommandLineException("HOST:PORT: expected an address, got " + address);
        }
        if (!LoadRun.isLocal(parsed)) {
            throw new CommandLineException(
                    "HOST:PORT: " + address + " is not an address of this machine");
        }
        return parsed;
    }

    private void checkOptions() throws CommandLineException {
        if (!requestClass.matches("[A-Za-z0-9._~-]{1,100}")) {
            throw new CommandLineException(
                    "--offering: expected 1 to 100 letters, digits or ._~-, got " + requestClass);
        }
        if (rate > 0 == connections > 0) {
            throw new CommandLineException(
                    "--rate, --connections: exactly one of them must be above 0");
        }
        requireWithin("--rate", rate, 0, MAX_RATE);
        requireWithin("--connections", connections, 0, MAX_CONNECTIONS);
        requireWithin("--work", meanWorkSeconds, MIN_WORK_SECONDS, MAX_WORK_SECONDS);
        requireWithin("--spread", workSigma, 0, MAX_WORK_SIGMA);
        requireWithin("--timeout", timeoutSeconds, MIN_TIMEOUT_SECONDS, MAX_TIMEOUT_SECONDS);
        requireWithin("--seconds", durationSeconds, MIN_DURATION_SECONDS, MAX_DURATION_SECONDS);
    }

    private LoadRun.Load load(InetSocketAddress dispatcher) {
        return new LoadRun.Load(
                dispatcher,
                requestClass,
                sendKeys ? Idempotency.IDEMPOTENT_BY_KEY : Idempotency.IDEMPOTENT,
                rate,
                connections,
                meanWorkSeconds,
                workSigma,
                timeoutSeconds,
                durationSeconds,
                seed,
                0,
                0);
    }

    private static void requireWithin(String option, double value, double min, double max)
            throws CommandLineException {
        if (!(value >= min && value <= max)) {
            throw new CommandLineException(
                    option + ": expected a number from " + min + " to " + max + ", got " + value);
        }
    }
}
