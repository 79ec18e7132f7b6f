package wheelroute.decision.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Endpoint.State;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;
import wheelroute.decision.LoadReport;
import wheelroute.decision.Outcome;
import wheelroute.decision.PolicyHarness;
import wheelroute.decision.RequestHandle;

/** Tests that requests are rejected if they would wait too long. */
public class AdmissionTest {
    private static PolicyHarness harness() {
        return PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(2);
    }

    /** If starts are not reported, only progress shows that an attempt has begun. */
    @Test
    public void rejectsOnceProgressOfAnEarlierAttemptIsOverdue() {
        PolicyHarness.SettingsFixture fixture = new PolicyHarness.SettingsFixture();
        fixture.reportsStart = false;
        fixture.progressIntervalSeconds = 1;
        PolicyHarness harness = new PolicyHarness(fixture).listWorkers(1);
        RequestHandle first = harness.accept(0.1);
        harness.advance(0.1);
        first.onEnded(0, Outcome.SUCCEEDED, true, new LoadReport(3));
        harness.accept(0.1);
        harness.advanceWithWakeups(15).accept(0.1);
        assertEquals(
                harness.countActions("reject"),
                0,
                "a request was rejected before progress was overdue");
        harness.advanceWithWakeups(8).accept(0.1);
        assertEquals(harness.lastAction().substring(0, 6), "reject");
    }

    /**
     * A retry by the client is safe only before the first attempt, so a rejection must come that
     * early.
     */
    @Test
    public void rejectsUnderOverloadBeforeFirstAttempt() {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL).listWorkers(2);
        for (int i = 0; i < 50; i++) {
            harness.accept(0.5);
        }
        assertTrue(harness.countActions("reject") > 30, harness.actions.toString());
        assertTrue(harness.countActions("attempt") >= 2);
    }

    @Test
    public void acceptsAgainOnceLongWaitsAreOld() {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(1);
        RequestHandle handle = harness.accept(0.1, harness.now + 100);
        harness.advance(20);
        handle.onStarted(0);
        harness.endAttempt(handle, 0, Outcome.SUCCEEDED);
        harness.accept(0.1);
        assertTrue(harness.lastAction().startsWith("reject"), harness.actions.toString());
        harness.advance(30).accept(0.1);
        assertTrue(harness.lastAction().startsWith("attempt"), harness.actions.toString());
    }

    /**
     * A class with a long objective must not fill the queues in which another class then starves.
     */
    @Test
    public void limitsWaitOfEachClassByThatOfTheShortestObjective() {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(1);
        harness.serve(0.5, 0.5);
        harness.actions.clear();
        for (int i = 0; i < 30; i++) {
            harness.accept("batch", 0.5, harness.now + 100);
        }
        assertTrue(harness.countActions("attempt") <= 5, harness.actions.toString());
    }

    @DataProvider
    public Object[][] tenants() {
        return new Object[][] {{"t", "attempt"}, {"greedy", "reject"}};
    }

    @Test(dataProvider = "tenants")
    public void allowsTenantBeyondItsQuotaShorterWaits(String tenant, String nextAction) {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(1);
        for (int i = 0; i < 200; i++) {
            RequestHandle handle =
                    harness.accept(
                            "job",
                            i % 10 == 0 ? "t" : "greedy",
                            0.05,
                            harness.now + PolicyHarness.TIMEOUT_SECONDS);
            handle.onStarted(0);
            harness.advance(0.05).endAttempt(handle, 0, Outcome.SUCCEEDED);
        }
        harness.accept(0.5).onStarted(0);
        harness.accept("job", tenant, 0.05, harness.now + PolicyHarness.TIMEOUT_SECONDS);
        assertTrue(harness.lastAction().startsWith(nextAction), harness.lastAction());
    }

    /** The worker of least cost may be a fast one with a queue while a slower one is idle. */
    @Test
    public void choosesIdleWorkerBeforeRejecting() {
        PolicyHarness harness = harness();
        for (long slow = 1; slow <= 2; slow++) {
            harness.updateWorker(slow, Double.NaN, State.DRAINING)
                    .updateWorker(3 - slow, Double.NaN, State.READY);
            for (int i = 0; i < 8; i++) {
                harness.serve(0.1, slow == 1 ? 0.8 : 0.025);
            }
        }
        harness.updateWorker(2, Double.NaN, State.READY).acceptUntilRejection(1);
        assertTrue(
                harness.actions.stream().anyMatch(s -> s.endsWith(" 2")),
                harness.actions.toString());
    }

    /**
     * Waits that have ended tend to be the shorter ones, so the waits of attempts that have not
     * started must count as well.
     */
    @Test
    public void countsWaitsOfAttemptsThatHaveNotStarted() {
        PolicyHarness harness = harness();
        RequestHandle slow = harness.accept(0.1);
        harness.advance(3);
        // After such a long wait the worker does not count as unresponsive at the next one.
        slow.onStarted(0);
        harness.endAttempt(slow, 0, Outcome.SUCCEEDED);
        harness.advance(100).accept(0.1);
        assertTrue(harness.lastAction().startsWith("attempt"), harness.actions.toString());
        harness.advanceWithWakeups(15).accept(0.1);
        assertTrue(harness.lastAction().startsWith("reject"), harness.actions.toString());
    }
}
