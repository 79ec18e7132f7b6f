package wheelroute.kit.scale;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import wheelroute.kit.process.ProcessSupervisor;
import wheelroute.kit.process.RehearsalException;

/** A dispatcher started by the shipped command, and looked at from outside only. */
final class MeasuredDaemon implements AutoCloseable {
    private static final Pattern LISTENS = Pattern.compile("listens on .*:(\\d+)\\R");
    private static final int UP_SECONDS = 60;
    private static final int END_SECONDS = 10;
    private static final int LOOK_MILLIS = 5;

    /** Of its log, for when it ends unasked. */
    private static final int KEPT_LETTERS = 1000;

    private static final double NANOS = 1e9;

    private final Process process;
    private final Path log;
    private final long startedAt = System.nanoTime();
    private final Map<String, Double> threads = new HashMap<>();
    private InetSocketAddress address;

    private MeasuredDaemon(Process process, Path log) {
        this.process = process;
        this.log = log;
    }

    /** Returns at once; {@link #awaitReady} waits. */
    static MeasuredDaemon start(
            Path folder, String name, String config, ProcessSupervisor supervisor)
            throws IOException, RehearsalException {
        Path file = Files.writeString(folder.resolve(name + ".json"), config);
        Path log = folder.resolve(name + ".log");
        ProcessBuilder builder =
                new ProcessBuilder("bash", "deploy/run.sh").directory(root().toFile());
        builder.environment().put("LB_CONFIG", file.toString());
        builder.environment().put("TMPDIR", folder.toString());
        return new MeasuredDaemon(
                supervisor.start(builder.redirectErrorStream(true).redirectOutput(log.toFile())),
                log);
    }

    /** The repository, built: the shipped command is run from there. */
    static Path root() throws RehearsalException {
        for (String entry : System.getProperty("java.class.path").split(File.pathSeparator)) {
            for (Path at = Path.of(entry).toAbsolutePath(); at != null; at = at.getParent()) {
                if (Files.isRegularFile(at.resolve("deploy/run.sh"))
                        && Files.isRegularFile(at.resolve("daemon/target/wheelroute.jar"))) {
                    return at;
                }
            }
        }
        throw new RehearsalException(
                "there is no built repository around the kit: deploy/run.sh and"
                        + " daemon/target/wheelroute.jar are needed");
    }

    /** Seconds from its start until it took clients. */
    double awaitReady() throws IOException, RehearsalException {
        while (true) {
            if (!process.isAlive()) {
                throw new RehearsalException("a daemon ended unasked: " + text());
            }
            if (System.nanoTime() - startedAt > UP_SECONDS * NANOS) {
                throw new RehearsalException("a daemon did not come up: " + text());
            }
            Matcher listens = LISTENS.matcher(text());
            if (listens.find()) {
                address =
                        new InetSocketAddress(
                                InetAddress.getLoopbackAddress(),
                                Integer.parseInt(listens.group(1)));
                return (System.nanoTime() - startedAt) / NANOS;
            }
            pause(LOOK_MILLIS);
        }
    }

    String lastLines() {
        try {
            String text = text();
            return text.substring(Math.max(0, text.length() - KEPT_LETTERS));
        } catch (IOException e) {
            return e.toString();
        }
    }

    private String text() throws IOException {
        return Files.readString(log, StandardCharsets.UTF_8);
    }

    static void pause(long millis) throws RehearsalException {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new RehearsalException("the run was interrupted");
        }
    }

    InetSocketAddress address() {
        return address;
    }

    /** Seconds of processor time; of a thread that has ended, as much as was seen of it. */
    synchronized double cpu() throws IOException {
        threads.putAll(ProcessStats.threads(process.pid()));
        return threads.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    double memory() throws IOException {
        return ProcessStats.memory(process.pid());
    }

    boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
