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
        description = "Clients alone against a dispatcher at an address of this machine.")
final class Load implements Callable<Integer> {
    private static final double MOST_RATE = 1e6;
    private static final int MOST_CONNECTIONS = 10_000;

    @Parameters(paramLabel = "HOST:PORT")
    private String address;

    @Option(
            names = "--offering",
            required = true,
            paramLabel = "NAME",
            description = "what is asked for")
    private String offering;

    @Option(
            names = "--keys",
            description = "send an Idempotency-Key with each, as deduplicated offerings" + " need")
    private boolean keys;

    @Option(
            names = "--rate",
            defaultValue = "0",
            paramLabel = "N",
            description = "open loop: asks a second")
    private double rate;

    @Option(
            names = "--connections",
            defaultValue = "0",
            paramLabel = "N",
            description = "closed loop: each always has one out")
    private int connections;

    @Option(
            names = "--work",
            defaultValue = "0.05",
            paramLabel = "S",
            description = "mean work, told to stand-in workers (default: ${DEFAULT-VALUE})")
    private double work;

    @Option(
            names = "--spread",
            defaultValue = "0.5",
            paramLabel = "X",
            description = "of the work's logarithm (default: ${DEFAULT-VALUE})")
    private double spread;

    @Option(
            names = "--timeout",
            defaultValue = "5",
            paramLabel = "S",
            description = "default: ${DEFAULT-VALUE}")
    private double timeout;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            paramLabel = "S",
            description = "default: ${DEFAULT-VALUE}")
    private double seconds;

    @Option(
            names = "--seed",
            defaultValue = "1",
            paramLabel = "N",
            description = "default: ${DEFAULT-VALUE}")
    private long seed;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        InetSocketAddress to = SocketAddresses.parse(address);
        if (to == null) {
            throw new CommandLineException("HOST:PORT: " + address + " is no address");
        }
        if (!LoadRun.isLocal(to)) {
            throw new CommandLineException(
                    "HOST:PORT: " + address + " is no address of this machine");
        }
        if (!offering.matches("[A-Za-z0-9._~-]{1,100}")) {
            throw new CommandLineException("--offering: " + offering + " cannot stand in a path");
        }
        if (rate > 0 == connections > 0) {
            throw new CommandLineException(
                    "--rate, --connections: one of them must be above 0, and only one");
        }
        within("--rate", rate, 0, MOST_RATE);
        within("--connections", connections, 0, MOST_CONNECTIONS);
        within("--work", work, 1e-6, 3600);
        within("--spread", spread, 0, 4);
        within("--timeout", timeout, 0.01, 3600);
        within("--seconds", seconds, 0.1, 86_400);
        StopSignal stop = new StopSignal();
        try {
            spec.commandLine()
                    .getOut()
                    .println(
                            LoadRun.run(
                                            new LoadRun.Load(
                                                    to,
                                                    offering,
                                                    keys
                                                            ? Idempotency.IDEMPOTENT_BY_KEY
                                                            : Idempotency.IDEMPOTENT,
                                                    rate,
                                                    connections,
                                                    work,
                                                    spread,
                                                    timeout,
                                                    seconds,
                                                    seed,
                                                    0,
                                                    0),
                                            stop)
                                    .text());
            spec.commandLine().getOut().flush();
        } finally {
            stop.finished();
        }
        return Exit.HOLDS;
    }

    private static void within(String option, double value, double least, double most)
            throws CommandLineException {
        if (!(value >= least && value <= most)) {
            throw new CommandLineException(
                    option + ": " + value + " is not from " + least + " to " + most);
        }
    }
}
