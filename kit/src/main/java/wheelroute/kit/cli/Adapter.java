package wheelroute.kit.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import wheelroute.Main;

@Command(
        name = "adapter",
        mixinStandardHelpOptions = true,
        description =
                "The decisions alone, on the bench's wire: events on standard input, actions on"
                        + " output.")
final class Adapter implements Callable<Integer> {
    @Override
    public Integer call() {
        Main.main(new String[] {"adapter"});
        return Exit.HOLDS;
    }
}
