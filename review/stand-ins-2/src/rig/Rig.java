package rig;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The surroundings of one case: the repository's root, a temporary folder, free ports, the record, the clock and the
 * dispatcher processes. Whatever it started has ended when {@link #close} returns.
 */
public final class Rig implements AutoCloseable {
    /** Exit codes of a case. */
    public static final int HELD = 0;

    public static final int BROKEN = 1;
    public static final int COULD_NOT_RUN = 2;

    private final Path root;
    private final Path temporary;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Dispatcher> dispatchers = new ArrayList<>();

    /** Whether the case's disruption is to take place. */
    public final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    /** A case that runs in the rig. */
    public interface Case {
        /** Runs the case and returns whether the rule held. */
        boolean run(Rig rig) throws Exception;
    }

    private Rig(Path root, Path folder) throws IOException {
        this.root = root;
        temporary = Files.createTempDirectory("case");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    }

    /**
     * Runs a case, writes its record, and exits with the result.
     *
     * @param arguments the repository's root and the case's folder
     */
    public static void main(String[] arguments, Case testCase) {
        int result = COULD_NOT_RUN;
        try (Rig rig = new Rig(Path.of(arguments[0]), Path.of(arguments[1]))) {
            rig.note("disruption: " + (rig.trouble ? "yes" : "no (TROUBLE=0)"));
            // Ends what was started even if the script is interrupted.
            Runtime.getRuntime().addShutdownHook(new Thread(rig::killAll));
            try {
                result = testCase.run(rig) ? HELD : BROKEN;
            } catch (CouldNotRun e) {
                rig.note("could not run: " + e.getMessage());
                System.err.println("could not run: " + e.getMessage());
            } catch (Exception e) {
                rig.note("could not run: " + e);
                e.printStackTrace();
            }
            rig.note("result: " + (result == HELD ? "held" : result == BROKEN ? "broken" : "could not run"));
        } catch (Exception e) {
            e.printStackTrace();
            result = COULD_NOT_RUN;
        }
        System.exit(result);
    }

    /** Thrown if the case says nothing, because its surroundings were not as they have to be. */
    public static final class CouldNotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        public CouldNotRun(String message) {
            super(message);
        }
    }

    public static void require(boolean condition, String message) {
        if (!condition) {
            throw new CouldNotRun(message);
        }
    }

    /** Seconds since the start of the case. */
    public double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    /** Writes a line to the record, with the time. */
    public void note(String text) {
        synchronized (record) {
            record.printf(Locale.ROOT, "%8.3f  %s%n", now(), text);
        }
    }

    /** Writes a line to the record and to standard output. */
    public void say(String text) {
        note(text);
        System.out.println(text);
    }

    public void sleepUntil(double time) {
        sleep(time - now());
    }

    public static void sleep(double seconds) {
        try {
            if (seconds > 0) {
                Thread.sleep((long) (seconds * 1000));
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    public static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public static InetAddress loopback() {
        return InetAddress.getLoopbackAddress();
    }

    public static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, loopback())) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public Path temporary() {
        return temporary;
    }

    /** Starts a dispatcher by the line `run` of the deploy file. */
    public Dispatcher start(String name, int port, int admin, Path config, Path tmpdir) throws IOException {
        Path log = temporary.resolve("log-" + dispatchers.size() + ".txt");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine());
        builder.directory(root.toFile());
        builder.environment().put("LB_NAME", name);
        builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("LB_CONFIG", config.toString());
        builder.environment().put("TMPDIR", tmpdir.toString());
        if (admin != 0) {
            builder.environment().put("LB_ADMIN", "127.0.0.1:" + admin);
        }
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        Dispatcher dispatcher = new Dispatcher(this, builder.start(), port, log);
        synchronized (dispatchers) {
            dispatchers.add(dispatcher);
        }
        note("started dispatcher " + name + ", process " + dispatcher.pid() + ", port " + port);
        return dispatcher;
    }

    private String runLine() throws IOException {
        String deploy = Files.readString(root.resolve("deploy/balancer.toml"));
        Matcher line = Pattern.compile("(?m)^run = \"(.*?)\"").matcher(deploy);
        require(line.find(), "deploy/balancer.toml has no line `run`");
        return line.group(1);
    }

    private void killAll() {
        synchronized (dispatchers) {
            dispatchers.forEach(Dispatcher::kill);
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (Dispatcher dispatcher : dispatchers) {
            note("log of process " + dispatcher.pid() + ":");
            try (Stream<String> lines = Files.lines(dispatcher.log(), StandardCharsets.ISO_8859_1)) {
                lines.limit(400).forEach(line -> record.println("    " + line));
            }
        }
        record.close();
        try (Stream<Path> files = Files.walk(temporary)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
