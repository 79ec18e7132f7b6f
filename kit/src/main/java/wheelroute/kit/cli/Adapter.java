package wheelroute.kit.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import wheelroute.Main;

@Command(
        name = "adapter",
        mixinStandardHelpOptions = true,
        description =
                "Run the policy alone: events of the bench's protocol on standard input, actions on"
                        + " standard output.")
final class Adapter implements Callable<Integer> {
    @Override
    public Integer call() {
        Main.main(new String[] {"adapter"});
        return Exit.HOLDS;
    }
}
