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
        description = "Ask a dispatcher's operators' door whom it knows, and what share it holds.")
final class Peers implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "HOST:PORT", description = "the door's address")
    private String address;

    @Option(
            names = "--timeout",
            defaultValue = "1",
            paramLabel = "S",
            description = "for the whole answer (default: ${DEFAULT-VALUE})")
    private double timeout;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        return Admin.ask(spec, address, "PEERS", timeout);
    }
}
