package wheelroute;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A dispatcher in its own process, which a test can suspend or give a limit on descriptors. */
public final class DispatcherProcess implements AutoCloseable {
    private static final Pattern LISTENING_LINE = Pattern.compile("listens on .*:(\\d+)$");
    private static final Pattern ADMIN_LINE =
            Pattern.compile("admin server listening on .*:(\\d+)$");

    private static final int DEFAULT_HEAP_MEGABYTES = 96;
    private static final int START_TIMEOUT_SECONDS = 20;

    private final Process process;
    private final Queue<String> log = new ConcurrentLinkedQueue<>();
    private final CompletableFuture<Integer> port = new CompletableFuture<>();
    private final CompletableFuture<Integer> adminPort = new CompletableFuture<>();

    private DispatcherProcess(Process process) {
        this.process = process;
    }

    /**
     * Returns a builder of a dispatcher process that logs to its standard output.
     *
     * @param descriptors the limit on file descriptors; 0 to inherit that of the test
     */
    static ProcessBuilder builder(Path directory, String config, int descriptors)
            throws IOException {
        return builder(directory, config, descriptors, DEFAULT_HEAP_MEGABYTES);
    }

    private static ProcessBuilder builder(
            Path directory, String config, int descriptors, int heapMegabytes) throws IOException {
        Path file = directory.resolve("config.json");
        Files.writeString(file, config);
        List<String> command =
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx" + heapMegabytes + "m",
                        "-XX:+ExitOnOutOfMemoryError",
                        "-cp",
                        System.getProperty(
                                "surefire.test.class.path", System.getProperty("java.class.path")),
                        Main.class.getName(),
                        "serve");
        ProcessBuilder builder = new ProcessBuilder(command);
        if (descriptors > 0) {
            // As in a deployment, the shell sets the limit; exec then replaces the shell, so that
            // the
            // process id is that of the dispatcher.
            builder.command("sh", "-c", "ulimit -n " + descriptors + " && exec \"$@\"", "sh");
            builder.command().addAll(command);
        }
        builder.environment().put("LB_CONFIG", file.toString());
        builder.environment().put("TMPDIR", directory.toString());
        return builder.redirectErrorStream(true);
    }

    /** Starts a dispatcher process and returns once the process accepts clients. */
    public static DispatcherProcess start(Path directory, String config, int descriptors)
            throws Exception {
        return start(directory, config, descriptors, DEFAULT_HEAP_MEGABYTES);
    }

    /** Starts a dispatcher process with a heap of the given size. */
    public static DispatcherProcess start(
            Path directory, String config, int descriptors, int heapMegabytes) throws Exception {
        DispatcherProcess dispatcher =
                new DispatcherProcess(
                        builder(directory, config, descriptors, heapMegabytes).start());
        Thread reader = new Thread(dispatcher::readLog, "log");
        reader.setDaemon(true);
        reader.start();
        try {
            dispatcher.port.get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (Exception e) {
            dispatcher.close();
            throw new IOException(
                    "process did not listen within "
                            + START_TIMEOUT_SECONDS
                            + " s:\n"
                            + dispatcher.log(),
                    e);
        }
        return dispatcher;
    }

    private void readLog() {
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                log.add(line);
                completeIfFound(ADMIN_LINE.matcher(line), adminPort);
                completeIfFound(LISTENING_LINE.matcher(line), port);
            }
        } catch (IOException e) {
            log.add(e.toString());
        }
    }

    private static void completeIfFound(Matcher matcher, CompletableFuture<Integer> value) {
        if (matcher.find()) {
            value.complete(Integer.parseInt(matcher.group(1)));
        }
    }

    public int port() {
        return port.join();
    }

    /** Returns the port of the admin server; waits forever if none is configured. */
    public int adminPort() {
        return adminPort.join();
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    public String log() {
        return String.join("\n", log);
    }

    /** Sends the process a signal such as STOP or CONT. */
    public void signal(String name) throws Exception {
        Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        if (kill.waitFor() != 0) {
            throw new IOException("failed to send signal " + name + " to process " + process.pid());
        }
    }

    /** Sends SIGTERM, waits until the process has ended, and returns its exit code. */
    public int terminate() throws InterruptedException {
        process.toHandle().destroy();
        return process.waitFor();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
