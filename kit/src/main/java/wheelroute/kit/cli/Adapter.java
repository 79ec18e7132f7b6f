package wheelroute.kit.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import wheelroute.Main;

@Command(
        name = "adapter",
        mixinStandardHelpOptions = true,
        description =
                "Run the policy without a network: read events of the simulator's protocol from"
                        + " standard input and write actions to standard output.")
final class Adapter implements Callable<Integer> {
    @Override
    public Integer call() {
        Main.main(new String[] {"adapter"});
        return ExitCode.SUCCESS;
    }
}
