package wheelroute.kit.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "admin",
        mixinStandardHelpOptions = true,
        description =
                "Send a command to a dispatcher's admin server and print its answer; the exit code"
                        + " is 3 if the answer begins with \"fail\".")
final class Admin implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "HOST:PORT", description = "the admin server's address")
    private String address;

    @Parameters(index = "1", paramLabel = "CALL", description = "READY, STATS or PEERS")
    private String command;

    @Option(
            names = "--timeout",
            defaultValue = "1",
            paramLabel = "S",
            description = "seconds to wait for the complete answer (default: ${DEFAULT-VALUE})")
    private double timeoutSeconds;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        return call(spec, address, command, timeoutSeconds);
    }

    /** Sends a command to an admin server, prints the answer and returns the exit code. */
    static int call(CommandSpec spec, String address, String command, double timeoutSeconds)
            throws CommandLineException {
        String answer = AdminClient.create(address, timeoutSeconds).call(command);
        spec.commandLine().getOut().print(answer);
        spec.commandLine().getOut().flush();
        return answer.startsWith(AdminClient.FAIL) ? ExitCode.CHECK_FAILED : ExitCode.SUCCESS;
    }
}
