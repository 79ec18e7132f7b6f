package wheelroute.kit.process;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import wheelroute.net.Clock;
import wheelroute.net.EventLoop;

/**
 * Seen: attempts went to workers that had left the list, 2.2 s after their leaving counted as
 * known, at a few dispatchers of a hundred. None of these had an answer of discovery for 15 s,
 * though it was up and answered others.
 *
 * <p>How it came about: discovery was down for 8 s; 1.6 s after its return seven in ten dispatchers
 * were killed at once and started again. All called at the same moment, the queue of discovery grew
 * past the 1.8 s after which a dispatcher gave a call up, and it stayed so long for as long as it
 * was watched.
 *
 * <p>Cause: a dispatcher gave up calls that discovery had queued, and called again within the
 * second. Discovery works through a call whether or not its caller still waits, so all of its
 * capacity went into calls that nobody waited for, and no new call was answered by anyone. Nothing
 * in the backoff lowered the fleet's rate of calls below what discovery can serve.
 *
 * <p>What proved it: a trace of every call of 100 dispatchers. 13 calls a second were given up and
 * 17 turned away, for 25 s on end; answered were 0. Here real processes do the same.
 */
public class CrowdedDiscoveryTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final int DISPATCHERS = 40;

    /** Seven in ten. */
    private static final int KILLED = 28;

    private static final double OUTAGE = 8;

    /** Discovery can take one call of each dispatcher in 5 s. */
    private static final CrowdedDiscovery.Capacity CAPACITY =
            new CrowdedDiscovery.Capacity(DISPATCHERS / 5.0, 2, 5);

    /** A change counts as known after 6 s; attempts may go on for a grace of 3 s. */
    private static final double IN_TIME = 9;

    private static final double GIVEN_UP = 30;

    private final Process[] processes = new Process[DISPATCHERS];
    private final double[] listeningAt = new double[DISPATCHERS];
    private Path directory;
    private EventLoop loop;
    private CrowdedDiscovery discovery;

    @BeforeMethod
    public void begin() throws Exception {
        directory = Files.createTempDirectory("crowded");
        loop = new EventLoop(new Clock(), 1);
        loop.start();
        discovery = onLoop(() -> new CrowdedDiscovery(loop, DISPATCHERS, CAPACITY));
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        for (Process process : processes) {
            process.destroyForcibly().waitFor();
        }
        loop.stop();
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** Rule 3 needs the list in time at every dispatcher, also where all ask at once. */
    @Test(timeOut = 180_000)
    public void everyDispatcherIsAnsweredAfterMassRestart() throws Exception {
        for (int i = 0; i < DISPATCHERS; i++) {
            start(i);
        }
        awaitListening();
        await(i -> !Double.isNaN(discovery.answeredAt(i)), GIVEN_UP);
        onLoop(
                () -> {
                    discovery.goDown();
                    return null;
                });
        pause(OUTAGE);
        for (int i = 0; i < KILLED; i++) {
            processes[i].destroyForcibly().waitFor();
        }
        double returnedAt =
                onLoop(
                        () -> {
                            discovery.comeBack();
                            return loop.now();
                        });
        for (int i = 0; i < KILLED; i++) {
            start(i);
        }
        awaitListening();
        await(i -> !Double.isNaN(discovery.answeredAt(i)), GIVEN_UP);
        List<String> late = new ArrayList<>();
        for (int i = 0; i < DISPATCHERS; i++) {
            double at = answeredAt(i);
            double since = Math.max(returnedAt, listeningAt[i]);
            if (!(at - since <= IN_TIME)) {
                late.add(String.format("%d: %.1f s", i, at - since));
            }
        }
        assertTrue(
                late.isEmpty(), "late, or never (NaN): " + late + "; " + onLoop(discovery::counts));
    }

    private double answeredAt(int dispatcher) throws Exception {
        return onLoop(() -> discovery.answeredAt(dispatcher));
    }

    private interface Condition {
        boolean holds(int dispatcher);
    }

    /** Returns when it holds for all, or the time is over. */
    private void await(Condition condition, double seconds) throws Exception {
        double until = loop.now() + seconds;
        while (loop.now() < until
                && !onLoop(() -> IntStream.range(0, DISPATCHERS).allMatch(condition::holds))) {
            pause(0.05);
        }
    }

    private static void pause(double seconds) {
        long until = System.nanoTime() + (long) (seconds * TimeUnit.SECONDS.toNanos(1));
        while (System.nanoTime() < until) {
            LockSupport.parkNanos(until - System.nanoTime());
        }
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.post(
                () -> {
                    try {
                        result.complete(task.call());
                    } catch (Exception e) {
                        result.completeExceptionally(e);
                    }
                });
        return result.get((long) GIVEN_UP, TimeUnit.SECONDS);
    }

    private Path log(int dispatcher) {
        return directory.resolve("log" + dispatcher);
    }

    private void start(int dispatcher) throws Exception {
        Path config = directory.resolve("config" + dispatcher);
        Files.writeString(config, config(dispatcher));
        Files.deleteIfExists(log(dispatcher));
        listeningAt[dispatcher] = Double.NaN;
        ProcessBuilder builder =
                new ProcessBuilder("bash", "deploy/run.sh").directory(ROOT.toFile());
        builder.environment().put("LB_CONFIG", config.toString());
        builder.environment().put("TMPDIR", directory.toString());
        processes[dispatcher] =
                builder.redirectErrorStream(true).redirectOutput(log(dispatcher).toFile()).start();
    }

    private void awaitListening() throws IOException {
        double until = loop.now() + GIVEN_UP;
        for (boolean all = false; !all; ) {
            all = true;
            for (int i = 0; i < DISPATCHERS; i++) {
                if (Double.isNaN(listeningAt[i]) || listeningAt[i] == 0) {
                    boolean listens =
                            Files.readString(log(i), StandardCharsets.UTF_8).contains("listens on");
                    listeningAt[i] = listens ? loop.now() : Double.NaN;
                    all &= listens;
                }
            }
            assertTrue(loop.now() < until, "some did not start");
            pause(0.02);
        }
    }

    private String config(int number) {
        return "{\"name\":\"n"
                + number
                + "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                + discovery.address(number).getPort()
                + "\",\"seed\":\""
                + Integer.toHexString(1000 + number)
                + "\",\"known\":{\"version\":1,\"full\":true,\"servers\":[]}"
                + ",\"settings\":{\"az\":\"a\",\"membership_mode\":\"ask\",\"balancers\":"
                + DISPATCHERS
                + ",\"request_classes\":[{\"name\":\"job\",\"effect\":\"free\",\"on_time_us\":500000,"
                + "\"hard_limit_us\":5000000,\"worth\":1}]},\"limits\":{\"memory_mb\":128}}";
    }
}
