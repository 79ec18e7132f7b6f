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
        description = "Run a dispatcher, configured by a file or by LB_CONFIG.")
final class Serve implements Callable<Integer> {
    @Parameters(
            arity = "0..1",
            paramLabel = "FILE",
            description =
                    "the configuration, TOML or JSON (default: the file that LB_CONFIG names)")
    private String file;

    @Option(
            names = "--log-format",
            paramLabel = "text|json",
            description = "the format of log lines (default: text)")
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
        // The dispatcher runs on its own thread, which ends the process.
        Thread.currentThread().join();
        return ExitCode.SUCCESS;
    }
}
