package wheelroute;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import wheelroute.adapter.Adapter;
import wheelroute.adapter.WireException;
import wheelroute.config.ConfigReader;
import wheelroute.net.lifecycle.Service;

/**
 * The daemon's command line: {@code adapter} runs the simulator's wire protocol on standard input
 * and output, {@code serve} dispatches on sockets.
 */
public final class Main {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE_ERROR = 2;

    /** Environment variable that names the configuration file. */
    private static final String CONFIG_FILE_VARIABLE = "LB_CONFIG";

    private Main() {}

    /**
     * Runs the subcommand that the first argument names. Exits with status 1 if it fails, and with
     * status 2 after a usage error.
     */
    public static void main(String[] args) {
        try {
            String command = args.length > 0 ? args[0] : "";
            if (command.equals("adapter") && args.length == 1) {
                runAdapter();
            } else if (command.equals("serve")) {
                serve(ServeOptions.parse(args));
            } else {
                throw new UsageException("no such subcommand: " + command);
            }
        } catch (UsageException e) {
            exitWithUsage();
        }
    }

    private static void exitWithUsage() {
        System.err.println(
                "usage: wheelroute adapter\n"
                        + "           run the simulator's wire protocol on standard input and"
                        + " output\n"
                        + "       wheelroute serve [--log-format text|json] [FILE]\n"
                        + "           dispatch requests from sockets; configured by LB_*"
                        + " variables and by FILE (TOML or JSON) or the file that LB_CONFIG"
                        + " names");
        System.exit(EXIT_USAGE_ERROR);
    }

    /** Returns the environment, where a file from the command line replaces that of LB_CONFIG. */
    private static Map<String, String> environment(ServeOptions options) {
        if (options.configFile() == null) {
            return System.getenv();
        }
        Map<String, String> environment = new HashMap<>(System.getenv());
        environment.put(CONFIG_FILE_VARIABLE, options.configFile());
        return environment;
    }

    private static void runAdapter() {
        // The streams use the file descriptors directly because System.out would add a lock and a
        // second buffer to every reply.
        try (FileInputStream in = new FileInputStream(FileDescriptor.in);
                FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
            new Adapter(in, out).run();
        } catch (WireException | IOException e) {
            exitWithError(e);
        }
    }

    private static void serve(ServeOptions options) {
        if (options.logFormat() != null) {
            System.setProperty(PersistentLogManager.FORMAT_PROPERTY, options.logFormat());
        }
        // The property must be set before the first logger is created. The default manager would
        // remove its handlers on shutdown.
        System.setProperty("java.util.logging.manager", PersistentLogManager.class.getName());
        Map<String, String> environment = environment(options);
        try {
            Service service = new Service(ConfigReader.read(environment));
            // The signals are handled before the service accepts requests, because by default
            // SIGHUP and SIGTERM would end the process and lose requests.
            ReloadSignal.onSignal(() -> service.reload(() -> ConfigReader.reread(environment)));
            Thread shutdownHook = new Thread(() -> shutDown(service), "shutdown");
            Runtime.getRuntime().addShutdownHook(shutdownHook);
            start(service, shutdownHook);
        } catch (Exception e) {
            exitWithError(e);
        }
    }

    /**
     * Starts the service. Removes the shutdown hook if the start fails, because there is then
     * nothing to drain when the process exits.
     */
    private static void start(Service service, Thread shutdownHook) throws Exception {
        try {
            service.start();
        } catch (Exception e) {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
            throw e;
        }
    }

    /** Drains the service and exits with status 0. The default status after a signal is not 0. */
    private static void shutDown(Service service) {
        try {
            service.drain();
        } catch (Exception e) {
            System.err.println("wheelroute: " + e);
        }
        Runtime.getRuntime().halt(0);
    }

    private static void exitWithError(Exception e) {
        System.err.println("wheelroute: " + e.getMessage());
        System.exit(EXIT_FAILURE);
    }
}
