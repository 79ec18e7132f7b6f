package wheelroute.kit.scale;

import static wheelroute.units.TimeUnits.NANOS_PER_SECOND;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import wheelroute.kit.process.Loopback;
import wheelroute.kit.process.ProcessSupervisor;
import wheelroute.kit.process.RehearsalException;

/**
 * A dispatcher process that is started by the shipped command and measured only from outside the
 * process.
 */
final class MeasuredDaemon implements AutoCloseable {
    private static final Pattern LISTENING = Pattern.compile("listens on .*:(\\d+)\\R");
    private static final String START_COMMAND = "deploy/run.sh";
    private static final String JAR = "daemon/target/wheelroute.jar";
    private static final int READY_TIMEOUT_SECONDS = 60;
    private static final int SHUTDOWN_TIMEOUT_SECONDS = 10;
    private static final int LOG_POLL_MILLIS = 5;

    /** Maximum number of characters of {@link #logExcerpt}. */
    private static final int LOG_EXCERPT_LENGTH = 1000;

    /** Thrown if a daemon process exits although it was not stopped. */
    static final class DaemonExitedException extends RehearsalException {
        private static final long serialVersionUID = 1L;

        DaemonExitedException(String log, Throwable cause) {
            super("a daemon exited unexpectedly: " + log, cause);
        }
    }

    private final Process process;
    private final Path log;
    private final long startedNanos = System.nanoTime();
    private final Map<String, Double> threadCpuSeconds = new HashMap<>();
    private InetSocketAddress address;

    private MeasuredDaemon(Process process, Path log) {
        this.process = process;
        this.log = log;
    }

    /** Starts a daemon without waiting until it is ready; see {@link #awaitReady}. */
    static MeasuredDaemon start(
            Path directory, String name, String config, ProcessSupervisor supervisor)
            throws IOException, RehearsalException {
        Path configFile = Files.writeString(directory.resolve(name + ".json"), config);
        Path log = directory.resolve(name + ".log");
        ProcessBuilder builder =
                new ProcessBuilder("bash", START_COMMAND).directory(repositoryRoot().toFile());
        builder.environment().put("LB_CONFIG", configFile.toString());
        builder.environment().put("TMPDIR", directory.toString());
        return new MeasuredDaemon(
                supervisor.start(builder.redirectErrorStream(true).redirectOutput(log.toFile())),
                log);
    }

    /**
     * Returns the root of the repository that contains the classes of this kit.
     *
     * @throws RehearsalException if there is no such repository, or the daemon is not built
     */
    static Path repositoryRoot() throws RehearsalException {
        for (String entry : System.getProperty("java.class.path").split(File.pathSeparator)) {
            Path directory = Path.of(entry).toAbsolutePath();
            while (directory != null) {
                if (Files.isRegularFile(directory.resolve(START_COMMAND))
                        && Files.isRegularFile(directory.resolve(JAR))) {
                    return directory;
                }
                directory = directory.getParent();
            }
        }
        throw new RehearsalException(
                "the kit does not run from a built repository: "
                        + START_COMMAND
                        + " and "
                        + JAR
                        + " are required");
    }

    /** Waits until the daemon listens for clients and returns the seconds that this took. */
    double awaitReady() throws IOException, RehearsalException {
        while (true) {
            if (!process.isAlive()) {
                throw new DaemonExitedException(logText(), null);
            }
            if (System.nanoTime() - startedNanos > READY_TIMEOUT_SECONDS * NANOS_PER_SECOND) {
                throw new RehearsalException(
                        "a daemon was not ready after "
                                + READY_TIMEOUT_SECONDS
                                + " s: "
                                + logText());
            }
            Matcher listening = LISTENING.matcher(logText());
            if (listening.find()) {
                address = Loopback.address(Integer.parseInt(listening.group(1)));
                return (System.nanoTime() - startedNanos) / NANOS_PER_SECOND;
            }
            ScaleEnvironment.sleepMillis(LOG_POLL_MILLIS);
        }
    }

    /** Returns the end of the log, or the error that prevented reading the log. */
    String logExcerpt() {
        try {
            String text = logText();
            return text.substring(Math.max(0, text.length() - LOG_EXCERPT_LENGTH));
        } catch (IOException e) {
            return e.toString();
        }
    }

    private String logText() throws IOException {
        return Files.readString(log, StandardCharsets.UTF_8);
    }

    /** Returns the address for clients; null before {@link #awaitReady} has returned. */
    InetSocketAddress address() {
        return address;
    }

    /**
     * Returns the CPU seconds that all threads have used since the process started. A thread that
     * has ended counts with the value that was read last.
     */
    synchronized double cpuSeconds() throws IOException {
        threadCpuSeconds.putAll(ProcessStats.threadCpuSeconds(process.pid()));
        return threadCpuSeconds.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    double memoryMb() throws IOException {
        return ProcessStats.memoryMb(process.pid());
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Stops the daemon gracefully, or kills it if it does not exit in time. */
    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
