package wheelroute.kit.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.DoubleSupplier;
import java.util.stream.Stream;

/** Processes by the shipped script, each with a configuration and a log in one folder. */
final class ScriptedDispatchers implements AutoCloseable {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final double POLL_INTERVAL = 0.02;

    private final Path directory;
    private final Process[] processes;

    /** When each was seen to take clients; NaN before. */
    private final double[] listeningAt;

    private final DoubleSupplier now;

    /** In a folder of their own, with times by this clock. */
    ScriptedDispatchers(int count, DoubleSupplier now) throws IOException {
        directory = Files.createTempDirectory("dispatchers");
        processes = new Process[count];
        listeningAt = new double[count];
        this.now = now;
    }

    /** Starts one, possibly in place of one that has ended. */
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

    /** Returns when all take clients, or the time is over. */
    void awaitListening(double seconds) throws IOException {
        double until = now.getAsDouble() + seconds;
        while (noteListening() && now.getAsDouble() < until) {
            pause(POLL_INTERVAL);
        }
    }

    /** Returns whether some do not take clients yet. */
    private boolean noteListening() throws IOException {
        for (int i = 0; i < processes.length; i++) {
            if (Double.isNaN(listeningAt[i]) && logText(i).contains("listens on")) {
                listeningAt[i] = now.getAsDouble();
            }
        }
        return Arrays.stream(listeningAt).anyMatch(Double::isNaN);
    }

    /** When it was seen to take clients; NaN before. */
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

    /** SIGKILL, as of a machine that is lost; returns once it is gone. */
    void kill(int number) throws InterruptedException {
        processes[number].destroyForcibly().waitFor();
    }

    /** SIGTERM to all; returns their exit codes. */
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

    static void pause(double seconds) {
        long until = System.nanoTime() + (long) (seconds * TimeUnit.SECONDS.toNanos(1));
        while (System.nanoTime() < until) {
            LockSupport.parkNanos(until - System.nanoTime());
        }
    }

    /** Kills those that run still, and deletes the folder. */
    @Override
    public void close() throws IOException {
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly().onExit().join();
            }
        }
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
