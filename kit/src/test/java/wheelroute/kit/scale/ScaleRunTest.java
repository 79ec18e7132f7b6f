package wheelroute.kit.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.testng.annotations.Test;
import wheelroute.kit.process.RehearsalException;

/** The whole run at sizes that take seconds, with processes and sockets as in the large one. */
public class ScaleRunTest {
    private static final ScaleRun.Sizes SMALL =
            new ScaleRun.Sizes(
                    0.8,
                    new int[] {10, 20, 40, 80},
                    new double[] {5, 10, 20, 40},
                    new int[] {20, 40, 60, 80},
                    new int[] {10, 20, 30, 40},
                    new int[] {0, 5, 10, 20},
                    new int[] {10, 50, 100, 200},
                    400,
                    new int[] {2, 4, 6, 8});

    @Test(timeOut = 180_000)
    public void measuresEachLineAtItsSizes() throws Exception {
        List<String> told = Collections.synchronizedList(new ArrayList<>());
        ScaleResults slopes = ScaleRun.run(SMALL, () -> false, told::add);
        slopes.fits().forEach((name, fit) -> assertEquals(fit.points().size(), 4, name));
        // An entry of the list has so many bytes, whoever asks.
        assertEquals(slopes.fit(ScaleRun.WHOLE_BYTES).slope(), 123, 3);
        assertTrue(
                slopes.fit(ScaleRun.BATCH_IN_FORCE).points().stream().allMatch(p -> p.y() > 0),
                "no time");
        assertTrue(slopes.fit(ScaleRun.MEMORY).at(50) > 20, "no process takes so little");
        assertTrue(
                slopes.fit(ScaleRun.LAUNCH_CPU).points().stream().anyMatch(p -> p.y() > 0),
                "no launch costs");
        // Each asks after each change, real or hollow, one a second here.
        assertTrue(slopes.figure(ScaleRun.HOLLOW_CALLS) > 0, "a hollow one never asked");
        assertTrue(slopes.figure(ScaleRun.REAL_CALLS) > 0, "a real one never asked");
        assertTrue(slopes.figure(ScaleRun.RESTART_CALLS) >= 8, "not all came back");
        assertTrue(slopes.figure(ScaleRun.RESTART_WORST) <= 4.8 + 0.5, "they came back late");
        assertTrue(told.size() >= 20, told.toString());
        assertEquals(
                ProcessHandle.current()
                        .descendants()
                        .filter(ProcessHandle::isAlive)
                        .filter(
                                p ->
                                        p.info()
                                                .commandLine()
                                                .orElse("")
                                                .contains("wheelroute.jar serve"))
                        .count(),
                0);
    }

    @Test(timeOut = 60_000)
    public void isStoppedEarly() {
        assertTrue(
                expectThrows(
                                RehearsalException.class,
                                () -> ScaleRun.run(SMALL, () -> true, text -> {}))
                        .getMessage()
                        .contains("stopped"));
    }

    /** Half of the machine's memory, whatever is asked for. */
    @Test
    public void nothingIsStartedPastItsBounds() throws IOException, RehearsalException {
        ResourceGuard guard = new ResourceGuard();
        guard.mayStart(1);
        String message =
                expectThrows(
                                RehearsalException.class,
                                () -> guard.mayStart(ProcessStats.machineMemory()))
                        .getMessage();
        assertTrue(message.contains("half of the machine's"), message);
    }
}
