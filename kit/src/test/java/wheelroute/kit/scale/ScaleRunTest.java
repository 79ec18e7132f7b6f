package wheelroute.kit.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.testng.annotations.Test;
import wheelroute.kit.process.RehearsalException;

/** Tests complete scale runs with processes and sockets, at sizes that take seconds. */
public class ScaleRunTest {
    private static final ScalePlan SMALL =
            new ScalePlan(
                    0.8,
                    List.of(10, 20, 40, 80),
                    List.of(5.0, 10.0, 20.0, 40.0),
                    List.of(20, 40, 60, 80),
                    List.of(10, 20, 30, 40),
                    List.of(0, 5, 10, 20),
                    List.of(10, 50, 100, 200),
                    400,
                    List.of(2, 4, 6, 8));

    private static final int BYTES_PER_ENDPOINT = 123;

    /** A dispatcher calls again within 4.8 s after discovery is available again. */
    private static final double MAX_RECOVERY_SECONDS = 4.8 + 0.5;

    @Test(timeOut = 180_000)
    public void measuresEachSeriesAndLeavesNoProcess() throws Exception {
        List<String> progress = Collections.synchronizedList(new ArrayList<>());
        ScaleResults results = ScaleRun.run(SMALL, () -> false, progress::add);
        results.fits().forEach((name, fit) -> assertEquals(fit.points().size(), 4, name));
        assertSeriesArePlausible(results);
        assertFiguresArePlausible(results);
        assertTrue(progress.size() >= 20, progress.toString());
        assertEquals(runningDaemons(), 0);
    }

    private static void assertSeriesArePlausible(ScaleResults results) {
        assertEquals(results.fit(ScaleSeries.COMPLETE_LIST_BYTES).slope(), BYTES_PER_ENDPOINT, 3);
        assertTrue(
                results.fit(ScaleSeries.BATCH_TIME_TO_IN_FORCE).points().stream()
                        .allMatch(point -> point.y() > 0),
                "expected only positive times until a batch is in force");
        assertTrue(
                results.fit(ScaleSeries.MEMORY).valueAt(50) > 20,
                "expected over 20 MB for 50 workers");
        assertTrue(
                results.fit(ScaleSeries.ATTEMPT_CPU).points().stream()
                        .anyMatch(point -> point.y() > 0),
                "expected a positive CPU cost of attempts in at least one point");
    }

    private static void assertFiguresArePlausible(ScaleResults results) {
        assertTrue(
                results.metric(ScaleMetric.IN_PROCESS_CALLS_PER_SECOND) > 0,
                "an in-process dispatcher did not call discovery");
        assertTrue(
                results.metric(ScaleMetric.PROCESS_CALLS_PER_SECOND) > 0,
                "a process did not call discovery");
        assertTrue(
                results.metric(ScaleMetric.DISCOVERY_RECOVERY_CALLS) >= 8,
                "not all dispatchers reconnected");
        assertTrue(
                results.metric(ScaleMetric.DISCOVERY_RECOVERY_SECONDS) <= MAX_RECOVERY_SECONDS,
                "the dispatchers reconnected too late after the restart of discovery");
    }

    private static long runningDaemons() {
        return ProcessHandle.current()
                .descendants()
                .filter(ProcessHandle::isAlive)
                .filter(
                        process ->
                                process.info()
                                        .commandLine()
                                        .orElse("")
                                        .contains("wheelroute.jar serve"))
                .count();
    }

    @Test(timeOut = 60_000)
    public void stopsEarlyOnRequest() {
        String message =
                expectThrows(
                                RehearsalException.class,
                                () -> ScaleRun.run(SMALL, () -> true, text -> {}))
                        .getMessage();
        assertTrue(message.contains("stopped"), message);
    }
}
