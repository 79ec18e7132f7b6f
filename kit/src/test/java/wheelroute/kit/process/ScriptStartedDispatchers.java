package wheelroute.kit.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.DoubleSupplier;

/**
 * Dispatchers that are started with the shipped script, by number. Their configuration files and
 * logs are in one temporary directory.
 */
final class ScriptStartedDispatchers implements AutoCloseable {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final double POLL_INTERVAL_SECONDS = 0.02;
    private static final String LISTENING = "listens on";

    private final Path directory;
    private final Process[] processes;

    /** Time at which each dispatcher was first seen to listen, by dispatcher number; NaN before. */
    private final double[] listeningAt;

    private final DoubleSupplier now;

    /**
     * Creates the temporary directory; no process is started yet.
     *
     * @param now clock in seconds
     */
    ScriptStartedDispatchers(int count, DoubleSupplier now) throws IOException {
        directory = Files.createTempDirectory("dispatchers");
        processes = new Process[count];
        listeningAt = new double[count];
        this.now = now;
    }

    /**
     * Starts a dispatcher; replaces the log of an earlier process with the same number, which must
     * have ended.
     */
    void start(int number, String config) throws IOException {
        Path file = directory.resolve("config" + number);
        Files.writeString(file, config);
        Files.deleteIfExists(log(number));
        listeningAt[number] = Double.NaN;
        ProcessBuilder builder =
                new ProcessBuilder("bash", "deploy/run.sh").directory(ROOT.toFile());
        builder.environment().put("LB_CONFIG", file.toString());
        builder.environment().put("TMPDIR", directory.toString());
        processes[number] =
                builder.redirectErrorStream(true).redirectOutput(log(number).toFile()).start();
    }

    /** Waits until all dispatchers listen or the timeout has passed. */
    void awaitListening(double timeoutSeconds) throws IOException {
        double deadline = now.getAsDouble() + timeoutSeconds;
        recordListening();
        while (!areAllListening() && now.getAsDouble() < deadline) {
            sleep(POLL_INTERVAL_SECONDS);
            recordListening();
        }
    }

    private void recordListening() throws IOException {
        for (int i = 0; i < processes.length; i++) {
            if (Double.isNaN(listeningAt[i]) && logText(i).contains(LISTENING)) {
                listeningAt[i] = now.getAsDouble();
            }
        }
    }

    private boolean areAllListening() {
        return Arrays.stream(listeningAt).noneMatch(Double::isNaN);
    }

    /** Returns the time at which a dispatcher was first seen to listen; NaN before. */
    double listeningAt(int number) {
        return listeningAt[number];
    }

    String logText(int number) throws IOException {
        return Files.exists(log(number))
                ? Files.readString(log(number), StandardCharsets.UTF_8)
                : "";
    }

    private Path log(int number) {
        return directory.resolve("log" + number);
    }

    /** Sends SIGKILL to a dispatcher and waits until its process has ended. */
    void kill(int number) throws InterruptedException {
        processes[number].destroyForcibly().waitFor();
    }

    /** Sends SIGTERM to all dispatchers and returns their exit codes, by dispatcher number. */
    int[] terminateAll() throws InterruptedException {
        for (Process process : processes) {
            process.toHandle().destroy();
        }
        int[] codes = new int[processes.length];
        for (int i = 0; i < codes.length; i++) {
            codes[i] = processes[i].waitFor();
        }
        return codes;
    }

    static void sleep(double seconds) {
        long endNanos = System.nanoTime() + (long) (seconds * TimeUnit.SECONDS.toNanos(1));
        while (System.nanoTime() < endNanos) {
            LockSupport.parkNanos(endNanos - System.nanoTime());
        }
    }

    /** Kills the processes that still run and deletes the directory. */
    @Override
    public void close() throws IOException {
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly().onExit().join();
            }
        }
        TemporaryDirectory.delete(directory);
    }
}
