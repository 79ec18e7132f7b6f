package wheelroute.decision.health;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Endpoint.State;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;
import wheelroute.decision.Outcome;
import wheelroute.decision.PolicyHarness;
import wheelroute.decision.RequestHandle;

/**
 * Tests the detection of workers and attempts without a response, and the hedged requests for them.
 */
public class UnresponsiveWorkerDetectorTest {
    private static PolicyHarness harness() {
        return PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(2);
    }

    /** A worker that hangs starts no attempt, which alone would look as if the worker were busy. */
    @Test
    public void ejectsUnresponsiveWorkerAndHedgesItsAttempt() {
        PolicyHarness harness = harness().fillHedgingBudget();
        harness.accept(0.1);
        final long unresponsive = harness.lastWorker();
        harness.advanceWithWakeups(20);
        assertEquals(harness.countActions("attempt"), 2, harness.actions.toString());
        assertNotEquals(harness.lastWorker(), unresponsive);
        for (int i = 0; i < 5; i++) {
            assertNotEquals(harness.serve(0.1, 0.1), unresponsive);
        }
    }

    @DataProvider
    public Object[][] attemptsWithoutProgress() {
        // idempotency, progress reports of the attempt (one per second), tenths of a second that
        // pass without its worker becoming unresponsive, number of cancellations
        return new Object[][] {
            {Idempotency.IDEMPOTENT, 0, 24, 1},
            {Idempotency.IDEMPOTENT, 9, 80, 0},
            {Idempotency.IDEMPOTENT_BY_KEY, 0, 24, 1},
            {Idempotency.NON_IDEMPOTENT, 0, 24, 0}
        };
    }

    /** A single connection may hang at a worker that responds on its other connections. */
    @Test(dataProvider = "attemptsWithoutProgress")
    public void cancelsSingleUnresponsiveAttemptIfItMayBeRetried(
            Idempotency idempotency, int progressReports, int tenths, int cancels) {
        PolicyHarness.SettingsFixture fixture = new PolicyHarness.SettingsFixture();
        fixture.idempotency = idempotency;
        fixture.mayHedge = false;
        fixture.reportsStart = false;
        fixture.progressIntervalSeconds = 1;
        PolicyHarness harness = new PolicyHarness(fixture).listWorkers(2);
        // Two attempts run at a time at a worker, so other requests need not wait for the
        // unresponsive attempt.
        List<RequestHandle> concurrent =
                List.of(
                        harness.accept(1.2),
                        harness.accept(1.2),
                        harness.accept(1.2),
                        harness.accept(1.2));
        harness.advance(1.1);
        concurrent.forEach(handle -> handle.onProgress(0, 0.9));
        harness.advance(0.1).policy.onWakeup();
        concurrent.forEach(handle -> harness.endAttempt(handle, 0, Outcome.SUCCEEDED));
        // Worker 1 is faster, so the other requests go there too.
        for (int i = 0; i < 60; i++) {
            RequestHandle handle = harness.accept(0.1);
            harness.advance(harness.lastWorker() == 1 ? 0.1 : 0.5)
                    .endAttempt(handle, 0, Outcome.SUCCEEDED);
        }
        harness.actions.clear();
        RequestHandle unresponsive = harness.accept(0.4);
        for (int i = 0; i < tenths; i++) {
            RequestHandle other = harness.accept(0.1);
            harness.advance(0.1).endAttempt(other, 0, Outcome.SUCCEEDED);
            harness.policy.onWakeup();
            if (i % 10 == 9 && i / 10 < progressReports) {
                unresponsive.onProgress(0, 0.01 * (i + 1));
            }
        }
        assertEquals(harness.countActions("cancel"), cancels, harness.actions.toString());
    }

    /** If no worker responds, hedging all requests would add to the overload. */
    @Test
    public void limitsHedgedRequestsByBudget() {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(4);
        for (int i = 0; i < 20; i++) {
            harness.accept(0.1);
        }
        long first = harness.countActions("attempt");
        harness.advanceWithWakeups(60);
        assertTrue(harness.countActions("attempt") - first <= 7, harness.actions.toString());
    }

    @Test
    public void retriesAttemptsOfRestartedWorkerElsewhere() {
        PolicyHarness harness = harness();
        harness.accept(0.1);
        final long restarted = harness.lastWorker();
        harness.advance(0.3).updateWorker(restarted, harness.now - 0.1, State.READY);
        assertEquals(harness.countActions("attempt"), 2);
        assertNotEquals(harness.lastWorker(), restarted);
    }
}
