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
public class SilenceDetectorTest {
    private static PolicyHarness harness() {
        return PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(2);
    }

    /** Prevents a hung worker, which starts nothing and looks merely busy. */
    @Test
    public void aSilentWorkerIsEjectedAndItsAttemptHedged() {
        PolicyHarness harness = harness().earnHedges();
        harness.accept(0.1);
        final long silent = harness.lastWorker();
        harness.sweep(20);
        assertEquals(harness.count("attempt"), 2, harness.actions.toString());
        assertNotEquals(harness.lastWorker(), silent);
        for (int i = 0; i < 5; i++) {
            assertNotEquals(harness.serve(0.1, 0.1), silent);
        }
    }

    @DataProvider
    public Object[][] silentAttempts() {
        // How many times one attempt tells of its progress, a second apart; whether it is given up
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
        PolicyHarness.SettingsFixture given = new PolicyHarness.SettingsFixture();
        given.idempotency = idempotency;
        given.mayHedge = false;
        given.reportsStart = false;
        given.progressIntervalSeconds = 1;
        PolicyHarness harness = new PolicyHarness(given).list(2);
        // Two at a time, so that the others need not wait for the one.
        List<RequestHandle> two =
                List.of(
                        harness.accept(1.2),
                        harness.accept(1.2),
                        harness.accept(1.2),
                        harness.accept(1.2));
        harness.pass(1.1);
        two.forEach(handle -> handle.onProgress(0, 0.9));
        harness.pass(0.1).policy.onWakeup();
        two.forEach(handle -> harness.end(handle, 0, Outcome.SUCCEEDED));
        // The first is the faster one, so that the others go there beside the one.
        for (int i = 0; i < 60; i++) {
            RequestHandle handle = harness.accept(0.1);
            harness.pass(harness.lastWorker() == 1 ? 0.1 : 0.5).end(handle, 0, Outcome.SUCCEEDED);
        }
        harness.actions.clear();
        RequestHandle silent = harness.accept(0.4);
        for (int i = 0; i < tenths; i++) {
            RequestHandle other = harness.accept(0.1);
            harness.pass(0.1).end(other, 0, Outcome.SUCCEEDED);
            harness.policy.onWakeup();
            if (i % 10 == 9 && i / 10 < words) {
                silent.onProgress(0, 0.01 * (i + 1));
            }
        }
        assertEquals(harness.count("cancel"), cancels, harness.actions.toString());
    }

    /** Prevents hedged requests that feed a jam: silence everywhere must not hedge everything. */
    @Test
    public void hedgedRequestsAreRationed() {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(4);
        for (int i = 0; i < 20; i++) {
            harness.accept(0.1);
        }
        long first = harness.count("attempt");
        harness.sweep(60);
        assertTrue(harness.count("attempt") - first <= 7, harness.actions.toString());
    }

    @Test
    public void attemptsOfARestartedWorkerAreRetriedElsewhere() {
        PolicyHarness harness = harness();
        harness.accept(0.1);
        final long restarted = harness.lastWorker();
        harness.pass(0.3).update(restarted, harness.now - 0.1, State.READY);
        assertEquals(harness.count("attempt"), 2);
        assertNotEquals(harness.lastWorker(), restarted);
    }
}
