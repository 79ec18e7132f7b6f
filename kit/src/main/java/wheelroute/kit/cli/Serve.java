package wheelroute.kit.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wheelroute.Main;

@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = "Dispatch on sockets, by a file of the operator's or by LB_CONFIG.")
final class Serve implements Callable<Integer> {
    @Parameters(
            arity = "0..1",
            paramLabel = "FILE",
            description = "TOML or JSON; LB_CONFIG names it" + " otherwise")
    private String file;

    @Option(
            names = "--log-format",
            paramLabel = "text|json",
            description = "the log's lines (default: text)")
    private String logFormat;

    @Override
    public Integer call() throws Exception {
        List<String> args = new ArrayList<>(List.of("serve"));
        if (logFormat != null) {
            args.add("--log-format");
            args.add(logFormat);
        }
        if (file != null) {
            args.add(file);
        }
        Main.main(args.toArray(new String[0]));
        // The service's thread goes on; the process ends with it.
        Thread.currentThread().join();
        return Exit.HOLDS;
    }
}
