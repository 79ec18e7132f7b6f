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

/** What is rejected early, and what is not. */
public class AdmissionTest {
    private static PolicyHarness harness() {
        return PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(2);
    }

    /** Prevents sending into a stopped queue where only progress tells that a attempt has begun. */
    @Test
    public void anAttemptWithoutProgressTellsOfAQueue() {
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
                "it may have run for as long as no progress is told");
        harness.advanceWithWakeups(8).accept(0.1);
        assertEquals(harness.lastAction().substring(0, 6), "reject");
    }

    /**
     * Prevents jams: under overload what cannot be in time is rejected while a retry is harmless.
     */
    @Test
    public void overloadIsRejectedEarly() {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL).listWorkers(2);
        for (int i = 0; i < 50; i++) {
            harness.accept(0.5);
        }
        assertTrue(harness.countActions("reject") > 30, harness.actions.toString());
        assertTrue(harness.countActions("attempt") >= 2);
    }

    /** Prevents bouncing for good on waits seen long ago. */
    @Test
    public void oldWaitsFade() {
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

    /** Prevents a patient class that fills the queues in which another starves. */
    @Test
    public void patientClassesStopAtTheImpatientOnesBound() {
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

    /** Prevents a tenant far past its share that crowds out the others under overload. */
    @Test(dataProvider = "tenants")
    public void aTenantFarPastItsQuotaBearsShorterWaits(String tenant, String next) {
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
        assertTrue(harness.lastAction().startsWith(next), harness.lastAction());
    }

    /**
     * Prevents a rejection from a fleet with an idle worker, because the fastest one has a queue.
     */
    @Test
    public void anIdleWorkerIsChosenBeforeARejection() {
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

    /** Prevents seeing only the lucky: attempts that still wait tell of their model's queues. */
    @Test
    public void attemptsStillWaitingCount() {
        PolicyHarness harness = harness();
        RequestHandle slow = harness.accept(0.1);
        harness.advance(3);
        // Such waits have been seen, long ago: the next one is no silence yet.
        slow.onStarted(0);
        harness.endAttempt(slow, 0, Outcome.SUCCEEDED);
        harness.advance(100).accept(0.1);
        assertTrue(harness.lastAction().startsWith("attempt"), harness.actions.toString());
        harness.advanceWithWakeups(15).accept(0.1);
        assertTrue(harness.lastAction().startsWith("reject"), harness.actions.toString());
    }
}
