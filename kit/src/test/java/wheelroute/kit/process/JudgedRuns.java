package wheelroute.kit.process;

import java.util.Map;
import org.testng.SkipException;
import wheelroute.kit.report.Report;
import wheelroute.kit.report.TableWriter;
import wheelroute.kit.scenario.Scenario;

/**
 * Plays for tests that assert on rules and figures: what the machine was too busy to judge is no
 * verdict.
 */
final class JudgedRuns {
    private static final int TRIES = 3;

    private JudgedRuns() {}

    /** The first play that can be judged; without one the test is skipped, and says why. */
    static Report play(Scenario scenario, long seed, double seconds) throws Exception {
        Report report = null;
        for (int i = 0; i < TRIES; i++) {
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
        throw new SkipException("not judged in " + TRIES + " plays: " + TableWriter.text(report));
    }
}
