package wheelroute.kit.audit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import wheelroute.kit.model.FinalResponse;
import wheelroute.kit.simulation.SimulatedTime;

/** Tests right and wrong metrics of a dispatcher that serves ten requests per second. */
public class MetricsAuditorTest {
    private static final int DISPATCHER = 0;
    private static final String PREDECESSOR = "predecessor";
    private static final String SUCCESSOR = "successor";
    private static final String COMPLETED = "completed.x";
    private static final String ATTEMPTS = "upstream_requests";
    private static final String PENDING = "pending";

    private SimulatedTime time;
    private MetricsAuditor auditor;

    /** The metrics of a dispatcher that counts correctly. */
    private Map<String, Long> metrics;

    @BeforeMethod
    public void startProcess() {
        time = new SimulatedTime();
        auditor = new MetricsAuditor(time, false);
        metrics = new HashMap<>(Map.of(PENDING, 0L));
        auditor.onProcessStarted(DISPATCHER, PREDECESSOR);
    }

    private void advance(double seconds) {
        boolean[] isOver = {false};
        time.schedule(seconds, () -> isOver[0] = true);
        while (!isOver[0] && time.step()) {
            // Each step advances the simulated clock.
        }
    }

    private void serve(int count, FinalResponse response) {
        for (int i = 0; i < count; i++) {
            auditor.onSent(DISPATCHER);
            auditor.onAttempt(DISPATCHER);
            advance(0.05);
            auditor.onResponse(DISPATCHER, "x", response);
            metrics.merge(MetricsAuditor.metricName(response, "x"), 1L, Long::sum);
            metrics.merge(ATTEMPTS, 1L, Long::sum);
            advance(0.05);
        }
    }

    private void report(Object process, Map<String, Long> values) {
        auditor.onMetrics(DISPATCHER, process, values);
        advance(1);
    }

    private void assertMatch() {
        assertTrue(auditor.checkCount() > 0, "no metric was compared");
        assertTrue(auditor.mismatches().isEmpty(), auditor.mismatches().toString());
    }

    private void assertMismatch() {
        assertTrue(auditor.checkCount() > 0, "no metric was compared");
        assertFalse(
                auditor.mismatches().isEmpty(),
                "no mismatch was found in " + auditor.checkCount() + " checks");
    }

    @Test
    public void acceptsMetricsThatMatchObservations() {
        serve(100, FinalResponse.SUCCEEDED);
        serve(20, FinalResponse.REJECTED);
        report(PREDECESSOR, metrics);
        assertMatch();
    }

    @Test
    public void findsCountThatIsTooLow() {
        serve(100, FinalResponse.SUCCEEDED);
        metrics.merge(COMPLETED, -10L, Long::sum);
        report(PREDECESSOR, metrics);
        assertMismatch();
    }

    @Test
    public void findsRejectionsCountedAsFailures() {
        serve(20, FinalResponse.REJECTED);
        metrics.put("failed.x", metrics.remove("rejected.x"));
        report(PREDECESSOR, metrics);
        assertMismatch();
    }

    @Test
    public void findsMissingMetric() {
        serve(20, FinalResponse.FAILED);
        metrics.remove("failed.x");
        report(PREDECESSOR, metrics);
        assertMismatch();
    }

    @Test
    public void findsAttemptsCountedTwice() {
        serve(100, FinalResponse.SUCCEEDED);
        metrics.merge(ATTEMPTS, 100L, Long::sum);
        report(PREDECESSOR, metrics);
        assertMismatch();
    }

    @Test
    public void findsPendingRequestsThatAreNotCounted() {
        for (int i = 0; i < 20; i++) {
            auditor.onSent(DISPATCHER);
        }
        advance(2);
        report(PREDECESSOR, metrics);
        assertMismatch();
    }

    @Test
    public void findsMetricsThatAreTwoSecondsOld() {
        serve(100, FinalResponse.SUCCEEDED);
        Map<String, Long> outdated = new HashMap<>(metrics);
        serve(20, FinalResponse.SUCCEEDED);
        report(PREDECESSOR, outdated);
        assertMismatch();
    }

    /** A cancelled request may have been completed at the dispatcher, or not. */
    @Test
    public void acceptsAnyResultOfCancelledRequests() {
        serve(50, FinalResponse.SUCCEEDED);
        for (int i = 0; i < 20; i++) {
            auditor.onSent(DISPATCHER);
            auditor.onResponseLost(DISPATCHER);
        }
        advance(1);
        metrics.merge(COMPLETED, 12L, Long::sum);
        report(PREDECESSOR, metrics);
        assertMatch();
    }

    @Test
    public void acceptsSuccessorThatCountsFromZero() {
        serve(100, FinalResponse.SUCCEEDED);
        report(PREDECESSOR, metrics);
        auditor.onProcessStarted(DISPATCHER, SUCCESSOR);
        Map<String, Long> atPredecessor = new HashMap<>(metrics);
        serve(20, FinalResponse.SUCCEEDED);
        Map<String, Long> atSuccessor = Map.of(COMPLETED, 20L, ATTEMPTS, 20L, PENDING, 0L);
        auditor.onMetrics(DISPATCHER, PREDECESSOR, atPredecessor);
        report(SUCCESSOR, atSuccessor);
        auditor.onProcessEnded(DISPATCHER, PREDECESSOR);
        advance(3);
        report(SUCCESSOR, atSuccessor);
        assertMatch();
    }

    @Test
    public void findsSuccessorThatContinuesCountsOfPredecessor() {
        serve(100, FinalResponse.SUCCEEDED);
        report(PREDECESSOR, metrics);
        auditor.onProcessStarted(DISPATCHER, SUCCESSOR);
        auditor.onProcessEnded(DISPATCHER, PREDECESSOR);
        advance(3);
        report(SUCCESSOR, metrics);
        assertMismatch();
    }

    @Test
    public void acceptsCountsFromZeroAfterKill() {
        serve(100, FinalResponse.SUCCEEDED);
        report(PREDECESSOR, metrics);
        auditor.onProcessEnded(DISPATCHER, PREDECESSOR);
        auditor.onProcessStarted(DISPATCHER, SUCCESSOR);
        report(SUCCESSOR, Map.of(COMPLETED, 0L, ATTEMPTS, 0L, PENDING, 0L));
        assertMatch();
    }

    /** A dispatcher that is paused or unreachable need not answer calls to its admin server. */
    @Test
    public void countsTimeoutsOfCallsExceptDuringFaults() {
        serve(10, FinalResponse.SUCCEEDED);
        report(PREDECESSOR, metrics);
        auditor.onCallTimeout(DISPATCHER);
        assertEquals(auditor.lateCallFraction(), 0.5);
        auditor.suspendChecks(DISPATCHER, true);
        auditor.onCallTimeout(DISPATCHER);
        assertEquals(auditor.lateCallFraction(), 0.5);
    }
}
