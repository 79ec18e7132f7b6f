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

    // States of processes in /proc.
    private static final char STOPPED = 'T';
    private static final char SLEEPING = 'S';

    /** An option of the daemon's JVM that the rehearsal's JVM does not have. */
    private static final String DAEMON_OPTION = "-XX:+UseSerialGC";

    /** Killed after the test, if it still runs. */
    private Process supervised;

    private Process other;
    private Path directory;

    @BeforeMethod
    public void begin() throws Exception {
        directory = Files.createTempDirectory("supervisor");
    }

    private static Process startSleep(ProcessSupervisor supervisor) throws Exception {
        return supervisor.start(new ProcessBuilder("sleep", "600"));
    }

    /** Returns the state of a process once it is the expected one, or after the timeout. */
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
                "it outlived its supervisor");

        // As if the starting process were killed while it starts another one.
        other = startSleep(supervisor);
        assertTrue(
                other.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS),
                "it was started after its supervisor had closed");
        assertEquals(other.exitValue(), 1);
    }

    @Test
    public void killsDaemonsWhenStartingProcessIsKilled() throws Exception {
        other = startRehearsal();
        List<ProcessHandle> started = awaitDaemon(other);
        assertTrue(
                started.stream().anyMatch(ProcessSupervisorTest::isDaemon),
                "no daemon was started");
        other.destroyForcibly();
        for (ProcessHandle one : started) {
            one.onExit().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
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

    /** Returns the descendants of a process once there is a daemon, or after the timeout. */
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
     * Whether a process is a daemon. Until a started process executes its command, it is a copy of
     * the JVM that starts it, so the executable alone does not tell.
     */
    private static boolean isDaemon(ProcessHandle process) {
        return process.info().command().orElse("").endsWith("java")
                && process.info().commandLine().orElse("").contains(DAEMON_OPTION);
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        for (Process process : new Process[] {supervised, other}) {
            if (process != null) {
                process.destroyForcibly().waitFor();
            }
        }
        TemporaryDirectory.delete(directory);
    }
}
