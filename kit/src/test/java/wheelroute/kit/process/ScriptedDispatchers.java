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
 * Dispatchers, by number, that are started by the shipped script; their configurations and logs are
 * in one temporary directory.
 */
final class ScriptedDispatchers implements AutoCloseable {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final double POLL_INTERVAL_SECONDS = 0.02;
    private static final String LISTENING = "listens on";

    private final Path directory;
    private final Process[] processes;

    /** When each was first seen to listen; NaN before. */
    private final double[] listeningAt;

    private final DoubleSupplier now;

    /**
     * Creates the directory; no process is started yet.
     *
     * @param now the clock, in seconds
     */
    ScriptedDispatchers(int count, DoubleSupplier now) throws IOException {
        directory = Files.createTempDirectory("dispatchers");
        processes = new Process[count];
        listeningAt = new double[count];
        this.now = now;
    }

    /** Starts a dispatcher, possibly in place of one that has ended. */
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

    /** Waits until all listen, or for the timeout. */
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

    /** Returns when a dispatcher was first seen to listen; NaN before. */
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

    /** Sends SIGKILL and waits until the process has ended. */
    void kill(int number) throws InterruptedException {
        processes[number].destroyForcibly().waitFor();
    }

    /** Sends SIGTERM to all and returns their exit codes. */
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

    /** Kills the processes that are left, and deletes the directory. */
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
