package wheelroute;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import wheelroute.adapter.Adapter;
import wheelroute.adapter.WireException;

/** The command line: one subcommand a way of running the decisions. */
public final class Main {
    private static final int BAD_INPUT = 1;
    private static final int BAD_USAGE = 2;

    private Main() {
    }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("usage: wheelroute adapter    read the wire on standard input, act on output");
            System.exit(BAD_USAGE);
        }
        // Unwrapped descriptors: System.out would add a lock and a second buffer to every reply.
        try (FileInputStream in = new FileInputStream(FileDescriptor.in);
                FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
            new Adapter(in, out).run();
        } catch (WireException | IOException e) {
            System.err.println("wheelroute: " + e.getMessage());
            System.exit(BAD_INPUT);
        }
    }
}
