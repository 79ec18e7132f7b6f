package wheelroute.kit.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ProcessSupervisorTest {
    private static final int TIMEOUT_SECONDS = 20;

    // Codes of process states in /proc/PID/stat.
    private static final char STOPPED = 'T';
    private static final char SLEEPING = 'S';

    /** Option of the daemon's JVM that the JVM of the rehearsal does not have. */
    private static final String DAEMON_OPTION = "-XX:+UseSerialGC";

    /** Process started by the supervisor; killed after the test if it still runs. */
    private Process supervised;

    private Process other;
    private Path directory;

    @BeforeMethod
    public void setUp() throws Exception {
        directory = Files.createTempDirectory("supervisor");
    }

    private static Process startSleep(ProcessSupervisor supervisor) throws Exception {
        return supervisor.start(new ProcessBuilder("sleep", "600"));
    }

    /**
     * Waits until a process has the expected state or the timeout has passed.
     *
     * @return the last state seen
     */
    private static char awaitState(Process process, char expected) throws Exception {
        Path stat = Path.of("/proc/" + process.pid() + "/stat");
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        char state;
        do {
            String text = Files.readString(stat);
            state = text.charAt(text.lastIndexOf(')') + 2);
            Thread.onSpinWait();
        } while (state != expected && System.nanoTime() < deadlineNanos);
        return state;
    }

    @Test
    public void pausesAndResumesProcess() throws Exception {
        try (ProcessSupervisor supervisor = new ProcessSupervisor(directory)) {
            supervised = startSleep(supervisor);
            supervisor.setPaused(supervised, true);
            assertEquals(awaitState(supervised, STOPPED), STOPPED);
            supervisor.setPaused(supervised, false);
            assertEquals(awaitState(supervised, SLEEPING), SLEEPING);
        }
    }

    @Test
    public void killsPausedProcessOnCloseAndStartsNoneAfterwards() throws Exception {
        ProcessSupervisor supervisor = new ProcessSupervisor(directory);
        supervised = startSleep(supervisor);
        Process ended = startSleep(supervisor);
        assertEquals(awaitState(supervised, SLEEPING), SLEEPING);
        supervisor.setPaused(supervised, true);
        ended.destroy();
        assertTrue(ended.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        supervisor.close();
        assertTrue(
                supervised.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS),
                "the paused process still runs after close of its supervisor");

        // Simulates a starting process that is killed while it starts another process.
        other = startSleep(supervisor);
        assertTrue(
                other.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS),
                "a process that was started after close of the supervisor still runs");
        assertEquals(other.exitValue(), 1);
    }

    @Test
    public void killsDaemonsWhenStartingProcessIsKilled() throws Exception {
        other = startRehearsal();
        List<ProcessHandle> started = awaitDaemon(other);
        assertTrue(
                started.stream().anyMatch(ProcessSupervisorTest::isDaemon),
                "expected a daemon within " + TIMEOUT_SECONDS + " s, got " + started);
        other.destroyForcibly();
        for (ProcessHandle handle : started) {
            handle.onExit().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private static Process startRehearsal() throws Exception {
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "wheelroute.kit.cli.Wheelroute",
                        "rehearse",
                        "calm",
                        "--clock",
                        "real",
                        "--seconds",
                        "60")
                .redirectErrorStream(true)
                .start();
    }

    /**
     * Waits until a descendant of a process is a daemon or the timeout has passed.
     *
     * @return all descendants of the process at that time
     */
    private static List<ProcessHandle> awaitDaemon(Process process) {
        List<ProcessHandle> started = List.of();
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (started.stream().noneMatch(ProcessSupervisorTest::isDaemon)
                && System.nanoTime() < deadlineNanos) {
            started = process.descendants().toList();
            Thread.onSpinWait();
        }
        return started;
    }

    /**
     * Whether a process is a daemon. A started process is a copy of the starting JVM until it
     * executes its command, so its executable alone does not identify a daemon.
     */
    private static boolean isDaemon(ProcessHandle process) {
        return process.info().command().orElse("").endsWith("java")
                && process.info().commandLine().orElse("").contains(DAEMON_OPTION);
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws Exception {
        for (Process process : new Process[] {supervised, other}) {
            if (process != null) {
                process.destroyForcibly().waitFor();
            }
        }
        TemporaryDirectory.delete(directory);
    }
}
