package wheelroute.kit.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Processes that are signalled, and that do not outlive who started them. */
public class ProcessSupervisorTest {
    private static final int PATIENCE = 20;
    private Process kept;
    private Process rig;
    private Path folder;

    @BeforeMethod
    public void begin() throws Exception {
        folder = Files.createTempDirectory("keeper");
    }

    private static Process sleeper(ProcessSupervisor supervisor) throws Exception {
        return supervisor.start(new ProcessBuilder("sleep", "600"));
    }

    /**
     * The letter that the kernel has for its state, once it is the one expected or patience is
     * over.
     */
    private static char state(Process process, char expected) throws Exception {
        Path stat = Path.of("/proc/" + process.pid() + "/stat");
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE);
        char state;
        do {
            String text = Files.readString(stat);
            state = text.charAt(text.lastIndexOf(')') + 2);
            Thread.onSpinWait();
        } while (state != expected && System.nanoTime() < end);
        return state;
    }

    @Test
    public void aProcessStandsStillAndGoesOn() throws Exception {
        try (ProcessSupervisor supervisor = new ProcessSupervisor(folder)) {
            kept = sleeper(supervisor);
            supervisor.setPaused(kept, true);
            assertEquals(state(kept, 'T'), 'T');
            supervisor.setPaused(kept, false);
            assertEquals(state(kept, 'S'), 'S');
        }
    }

    /** Also one that stands still as its keeper goes. */
    @Test
    public void whatIsKeptGoesWithItsKeeper() throws Exception {
        ProcessSupervisor supervisor = new ProcessSupervisor(folder);
        kept = sleeper(supervisor);
        Process other = sleeper(supervisor);
        assertEquals(state(kept, 'S'), 'S');
        supervisor.setPaused(kept, true);
        other.destroy();
        assertTrue(other.waitFor(PATIENCE, TimeUnit.SECONDS));
        supervisor.close();
        assertTrue(kept.waitFor(PATIENCE, TimeUnit.SECONDS), "it outlived its keeper");
        // One that is late, as its starter was killed in the middle of starting it, does not even
        // begin.
        rig = supervisor.start(new ProcessBuilder("sleep", "600"));
        assertTrue(rig.waitFor(PATIENCE, TimeUnit.SECONDS), "it began after its keeper had gone");
        assertEquals(rig.exitValue(), 1);
    }

    /** The rig itself is killed, which it cannot see coming: nothing it started is left. */
    @Test
    public void noDaemonOutlivesAKilledRig() throws Exception {
        rig =
                new ProcessBuilder(
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
        List<ProcessHandle> started = List.of();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE);
        while (started.stream().noneMatch(ProcessSupervisorTest::isDaemon)
                && System.nanoTime() < end) {
            started = rig.descendants().toList();
            Thread.onSpinWait();
        }
        assertTrue(
                started.stream().anyMatch(ProcessSupervisorTest::isDaemon),
                "no daemon was started");
        rig.destroyForcibly();
        for (ProcessHandle one : started) {
            one.onExit().get(PATIENCE, TimeUnit.SECONDS);
        }
    }

    private static boolean isDaemon(ProcessHandle process) {
        return process.info().command().orElse("").endsWith("java");
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        for (Process process : new Process[] {kept, rig}) {
            if (process != null) {
                process.destroyForcibly().waitFor();
            }
        }
        try (Stream<Path> left = Files.list(folder)) {
            for (Path file : left.toList()) {
                Files.deleteIfExists(file);
            }
        }
        Files.deleteIfExists(folder);
    }
}
