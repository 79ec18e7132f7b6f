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

    private Main() {}

    /**
     * Runs the subcommand that the first argument names; ends with status 1 if it fails and with
     * status 2 after a usage error.
     */
    public static void main(String[] args) {
        String command = args.length > 0 ? args[0] : "";
        if (command.equals("adapter") && args.length == 1) {
            runAdapter();
        } else if (command.equals("serve")) {
            serve(environment(args));
        } else {
            usage();
        }
    }

    private static void usage() {
        System.err.println(
                "usage: wheelroute adapter    the wire on standard input and output\n"
                        + "       wheelroute serve [--log-format text|json] [FILE]\n"
                        + "                             dispatch on sockets, by LB_* and FILE, TOML or JSON, or"
                        + " the file that LB_CONFIG names");
        System.exit(EXIT_USAGE_ERROR);
    }

    /** The process's environment, with a file from the command line in place of LB_CONFIG. */
    private static Map<String, String> environment(String[] args) {
        Map<String, String> environment = System.getenv();
        for (int i = 1; i < args.length; i++) {
            boolean hasValue = i + 1 < args.length;
            if (args[i].equals("--log-format") && hasValue && isLogFormat(args[i + 1])) {
                System.setProperty(PersistentLogManager.FORMAT_PROPERTY, args[++i]);
            } else if (i == args.length - 1 && !args[i].startsWith("-")) {
                environment = new HashMap<>(environment);
                environment.put("LB_CONFIG", args[i]);
            } else {
                usage();
            }
        }
        return environment;
    }

    private static boolean isLogFormat(String value) {
        return value.equals("text") || value.equals("json");
    }

    private static void runAdapter() {
        // Plain descriptors: System.out would add a lock and a second buffer to every reply.
        try (FileInputStream in = new FileInputStream(FileDescriptor.in);
                FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
            new Adapter(in, out).run();
        } catch (WireException | IOException e) {
            fail(e);
        }
    }

    private static void serve(Map<String, String> environment) {
        // Before the first logger is created: the default manager drops its handlers on shutdown.
        System.setProperty("java.util.logging.manager", PersistentLogManager.class.getName());
        try {
            Service service = new Service(ConfigReader.read(environment));
            // Before the service accepts requests: by default SIGHUP and SIGTERM would end the
            // process and lose them.
            ReloadSignal.onSignal(() -> service.reload(() -> ConfigReader.reread(environment)));
            Thread shutdownHook = new Thread(() -> shutDown(service), "shutdown");
            Runtime.getRuntime().addShutdownHook(shutdownHook);
            start(service, shutdownHook);
        } catch (Exception e) {
            fail(e);
        }
    }

    /**
     * After a failed start there is nothing to drain, and the exit status is that of the failure.
     */
    private static void start(Service service, Thread shutdownHook) throws Exception {
        try {
            service.start();
        } catch (Exception e) {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
            throw e;
        }
    }

    /** Halts with status 0: the default status after a signal would look like a crash. */
    private static void shutDown(Service service) {
        try {
            service.drain();
        } catch (Exception e) {
            System.err.println("wheelroute: " + e);
        }
        Runtime.getRuntime().halt(0);
    }

    private static void fail(Exception e) {
        System.err.println("wheelroute: " + e.getMessage());
        System.exit(EXIT_FAILURE);
    }
}
