package wheelroute.kit.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "peers",
        mixinStandardHelpOptions = true,
        description = "Print the members that a dispatcher knows and its quota leases.")
final class Peers implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "HOST:PORT", description = "the admin server's address")
    private String address;

    @Option(
            names = "--timeout",
            defaultValue = "1",
            paramLabel = "S",
            description = "seconds to wait for the complete answer (default: ${DEFAULT-VALUE})")
    private double timeoutSeconds;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        return Admin.call(spec, address, "PEERS", timeoutSeconds);
    }
}
