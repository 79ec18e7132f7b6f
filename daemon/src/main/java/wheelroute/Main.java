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
import wheelroute.net.Service;

/** The command line: one subcommand a way of running the decisions. */
public final class Main {
    private static final int BAD_INPUT = 1;
    private static final int BAD_USAGE = 2;

    private Main() {}

    public static void main(String[] args) {
        String command = args.length > 0 ? args[0] : "";
        if (command.equals("adapter") && args.length == 1) {
            adapter();
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
                        + " the file"
                        + " that LB_CONFIG names");
        System.exit(BAD_USAGE);
    }

    /** Of the process, with the file that the command line names in place of LB_CONFIG. */
    private static Map<String, String> environment(String[] args) {
        Map<String, String> environment = System.getenv();
        for (int i = 1; i < args.length; i++) {
            if (args[i].equals("--log-format")
                    && i + 1 < args.length
                    && (args[i + 1].equals("text") || args[i + 1].equals("json"))) {
                System.setProperty(PersistentLogManager.FORMAT, args[++i]);
            } else if (i == args.length - 1 && !args[i].startsWith("-")) {
                environment = new HashMap<>(environment);
                environment.put("LB_CONFIG", args[i]);
            } else {
                usage();
            }
        }
        return environment;
    }

    private static void adapter() {
        // Unwrapped descriptors: System.out would add a lock and a second buffer to every reply.
        try (FileInputStream in = new FileInputStream(FileDescriptor.in);
                FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
            new Adapter(in, out).run();
        } catch (WireException | IOException e) {
            fail(e);
        }
    }

    private static void serve(Map<String, String> environment) {
        // Before the first logger: the usual manager drops its handlers once the process is told to
        // end.
        System.setProperty("java.util.logging.manager", PersistentLogManager.class.getName());
        try {
            Service service = new Service(ConfigReader.read(environment));
            // Before it is ready: by default either signal would end the process, with what it had
            // taken.
            ReloadSignal.onSignal(() -> service.reload(() -> ConfigReader.reread(environment)));
            Thread end = new Thread(() -> end(service), "end");
            Runtime.getRuntime().addShutdownHook(end);
            start(service, end);
        } catch (Exception e) {
            fail(e);
        }
    }

    /** A start that fails ends with the code for it, and with nothing to wait for. */
    private static void start(Service service, Thread end) throws Exception {
        try {
            service.start();
        } catch (Exception e) {
            Runtime.getRuntime().removeShutdownHook(end);
            throw e;
        }
    }

    /** A signal's own exit code would read as a crash. */
    private static void end(Service service) {
        try {
            service.drain();
        } catch (Exception e) {
            System.err.println("wheelroute: " + e);
        }
        Runtime.getRuntime().halt(0);
    }

    private static void fail(Exception e) {
        System.err.println("wheelroute: " + e.getMessage());
        System.exit(BAD_INPUT);
    }
}
