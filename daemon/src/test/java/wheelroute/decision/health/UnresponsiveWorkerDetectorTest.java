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

/** Workers and attempts that fall silent, and hedged requests. */
public class UnresponsiveWorkerDetectorTest {
    private static PolicyHarness harness() {
        return PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(2);
    }

    /** Prevents a hung worker, which starts nothing and looks merely busy. */
    @Test
    public void aSilentWorkerIsEjectedAndItsAttemptHedged() {
        PolicyHarness harness = harness().fillHedgingBudget();
        harness.accept(0.1);
        final long silent = harness.lastWorker();
        harness.advanceWithWakeups(20);
        assertEquals(harness.countActions("attempt"), 2, harness.actions.toString());
        assertNotEquals(harness.lastWorker(), silent);
        for (int i = 0; i < 5; i++) {
            assertNotEquals(harness.serve(0.1, 0.1), silent);
        }
    }

    @DataProvider
    public Object[][] silentAttempts() {
        // How many times one attempt tells of its progress, a second apart; whether it is fixture
        // up
        // by a time,
        // in tenths of a second, at which its worker as a whole is not silent yet.
        return new Object[][] {
            {Idempotency.IDEMPOTENT, 0, 24, 1},
            {Idempotency.IDEMPOTENT, 9, 80, 0},
            {Idempotency.IDEMPOTENT_BY_KEY, 0, 24, 1},
            {Idempotency.NON_IDEMPOTENT, 0, 24, 0}
        };
    }

    /** Prevents one connection that falls silent at a worker that goes on answering the others. */
    @Test(dataProvider = "silentAttempts")
    public void aSilentAttemptIsRetriedBesideOthersThatGoOn(
            Idempotency idempotency, int words, int tenths, int cancels) {
        PolicyHarness.SettingsFixture fixture = new PolicyHarness.SettingsFixture();
        fixture.idempotency = idempotency;
        fixture.mayHedge = false;
        fixture.reportsStart = false;
        fixture.progressIntervalSeconds = 1;
        PolicyHarness harness = new PolicyHarness(fixture).listWorkers(2);
        // Two at a time, so that the others need not wait for the one.
        List<RequestHandle> two =
                List.of(
                        harness.accept(1.2),
                        harness.accept(1.2),
                        harness.accept(1.2),
                        harness.accept(1.2));
        harness.advance(1.1);
        two.forEach(handle -> handle.onProgress(0, 0.9));
        harness.advance(0.1).policy.onWakeup();
        two.forEach(handle -> harness.endAttempt(handle, 0, Outcome.SUCCEEDED));
        // The first is the faster one, so that the others go there beside the one.
        for (int i = 0; i < 60; i++) {
            RequestHandle handle = harness.accept(0.1);
            harness.advance(harness.lastWorker() == 1 ? 0.1 : 0.5)
                    .endAttempt(handle, 0, Outcome.SUCCEEDED);
        }
        harness.actions.clear();
        RequestHandle silent = harness.accept(0.4);
        for (int i = 0; i < tenths; i++) {
            RequestHandle other = harness.accept(0.1);
            harness.advance(0.1).endAttempt(other, 0, Outcome.SUCCEEDED);
            harness.policy.onWakeup();
            if (i % 10 == 9 && i / 10 < words) {
                silent.onProgress(0, 0.01 * (i + 1));
            }
        }
        assertEquals(harness.countActions("cancel"), cancels, harness.actions.toString());
    }

    /** Prevents hedged requests that feed a jam: silence everywhere must not hedge everything. */
    @Test
    public void hedgedRequestsAreRationed() {
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
    public void attemptsOfARestartedWorkerAreRetriedElsewhere() {
        PolicyHarness harness = harness();
        harness.accept(0.1);
        final long restarted = harness.lastWorker();
        harness.advance(0.3).updateWorker(restarted, harness.now - 0.1, State.READY);
        assertEquals(harness.countActions("attempt"), 2);
        assertNotEquals(harness.lastWorker(), restarted);
    }
}
