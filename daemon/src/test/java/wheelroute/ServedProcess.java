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

/** A dispatcher as a process of its own, so that a test may stop it, or bound what it may open. */
public final class ServedProcess implements AutoCloseable {
    private static final Pattern LISTENS = Pattern.compile("listens on .*:(\\d+)$");
    private static final Pattern DOOR = Pattern.compile("operators call .*:(\\d+)$");

    /** On a machine with much else to do a start takes some seconds. */
    private static final int UP_SECONDS = 20;

    private final Process process;
    private final Queue<String> log = new ConcurrentLinkedQueue<>();
    private final CompletableFuture<Integer> port = new CompletableFuture<>();
    private final CompletableFuture<Integer> door = new CompletableFuture<>();

    private ServedProcess(Process process) {
        this.process = process;
    }

    /**
     * With the log of the process joined to its output; a bound on descriptors of 0 is that of the
     * test.
     */
    static ProcessBuilder builder(Path directory, String config, int descriptors)
            throws IOException {
        Path file = directory.resolve("config.json");
        Files.writeString(file, config);
        List<String> command =
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx96m",
                        "-cp",
                        System.getProperty(
                                "surefire.test.class.path", System.getProperty("java.class.path")),
                        Main.class.getName(),
                        "serve");
        ProcessBuilder builder = new ProcessBuilder(command);
        if (descriptors > 0) {
            // The child's own bound, as a deployment sets it: the shell becomes the process.
            builder.command("sh", "-c", "ulimit -n " + descriptors + " && exec \"$@\"", "sh");
            builder.command().addAll(command);
        }
        builder.environment().put("LB_CONFIG", file.toString());
        builder.environment().put("TMPDIR", directory.toString());
        return builder.redirectErrorStream(true);
    }

    /** Returns once it listens to clients. */
    public static ServedProcess start(Path directory, String config, int descriptors)
            throws Exception {
        ServedProcess served = new ServedProcess(builder(directory, config, descriptors).start());
        Thread reader = new Thread(served::read, "log");
        reader.setDaemon(true);
        reader.start();
        try {
            served.port.get(UP_SECONDS, TimeUnit.SECONDS);
        } catch (Exception e) {
            served.close();
            throw new IOException("it did not come up:\n" + served.log(), e);
        }
        return served;
    }

    private void read() {
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                log.add(line);
                tell(DOOR.matcher(line), door);
                tell(LISTENS.matcher(line), port);
            }
        } catch (IOException e) {
            log.add(e.toString());
        }
    }

    private static void tell(Matcher matcher, CompletableFuture<Integer> told) {
        if (matcher.find()) {
            told.complete(Integer.parseInt(matcher.group(1)));
        }
    }

    public int port() {
        return port.join();
    }

    /** The operators' door, which the configuration must ask for. */
    public int door() {
        return door.join();
    }

    public String log() {
        return String.join("\n", log);
    }

    /** As STOP or CONT; returns when it has been sent. */
    public void signal(String name) throws Exception {
        Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        if (kill.waitFor() != 0) {
            throw new IOException("no signal " + name + " could be sent");
        }
    }

    /** Tells it to end, and waits until it has; its exit code. */
    public int end() throws InterruptedException {
        process.toHandle().destroy();
        return process.waitFor();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
