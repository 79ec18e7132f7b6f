package wheelroute.kit.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import org.testng.SkipException;
import wheelroute.kit.report.Report;
import wheelroute.kit.report.TableWriter;
import wheelroute.kit.scenario.Scenario;

/**
 * Runs scenarios for tests whose assertions hold only if the machine is not too busy for the run to
 * be judged.
 */
final class JudgedRuns {
    private static final int MAX_RUNS = 3;

    private JudgedRuns() {}

    /**
     * Returns the report of the first run that can be judged.
     *
     * @throws SkipException with the last report if none of the runs can be judged
     */
    static Report run(Scenario scenario, long seed, double seconds) throws Exception {
        Report report = null;
        for (int i = 0; i < MAX_RUNS; i++) {
            report =
                    ProcessRun.run(
                            new ProcessRun.Options(
                                    scenario, seed, seconds, Map.of(), "as-built", null, null),
                            () -> false,
                            text -> {});
            if (report.notJudgedReason() == null) {
                return report;
            }
        }
        throw new SkipException(
                "none of "
                        + MAX_RUNS
                        + " runs could be judged; last report: "
                        + TableWriter.text(report));
    }

    /** Asserts that each request has ended with exactly one result. */
    static void assertEachRequestEndedOnce(Report.Row all, String message) {
        assertEquals(
                all.inTime()
                        + all.late()
                        + all.rejected()
                        + all.failed()
                        + all.unanswered()
                        + all.cancelled(),
                all.requested(),
                message);
    }

    /** Asserts that no rule was broken. */
    static void assertKeepsRules(Report report) {
        assertTrue(report.keepsRules(), TableWriter.text(report));
    }
}
