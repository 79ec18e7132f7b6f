package wheelroute.decision.health;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Endpoint.State;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;
import wheelroute.decision.Outcome;
import wheelroute.decision.PolicyHarness;
import wheelroute.decision.RequestHandle;

/** Which workers are ejected, and what is held against none. */
public class OutlierEjectionTest {
    private static PolicyHarness harness() {
        return PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(2);
    }

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            {Outcome.FAILED, true},
            {Outcome.INVALID_REQUEST, false},
            {Outcome.STALE_CONNECTION, false}
        };
    }

    @Test(dataProvider = "failures")
    public void ejectsOnlyForFailuresThatAreTheWorkersFault(Outcome outcome, boolean ejects) {
        PolicyHarness harness =
                new PolicyHarness(new PolicyHarness.SettingsFixture()).listWorkers(2);
        assertEquals(
                harness.attemptsAtBadWorkers(12, 0.1, worker -> worker == 1, outcome) <= 3, ejects);
    }

    /**
     * A spell of requests that fail anywhere: no worker is avoided for it, and they cost one
     * attempt.
     */
    @Test
    public void errorsThatFollowARequestAreNoWorkersFault() {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(4);
        long lateAttempts = 0;
        for (int i = 0; i < 60; i++) {
            harness.actions.clear();
            RequestHandle handle = harness.advance(0.05).accept(0.1);
            boolean bad = i % 2 == 1;
            for (int attempt = 0; !handle.isComplete(); attempt++) {
                harness.advance(0.02)
                        .endAttempt(handle, attempt, bad ? Outcome.FAILED : Outcome.SUCCEEDED);
            }
            lateAttempts += i >= 40 && bad ? harness.countActions("attempt") : 0;
        }
        assertEquals(lateAttempts, 10, "one attempt for each that fails anywhere");
        assertEquals(harness.policy.avoidedEndpoints(), 0);
    }

    /** Its evidence ages: a worker that fails by itself afterwards is found out as ever. */
    @Test
    public void aWorkersOwnErrorsAreStillItsFault() {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(4);
        harness.attemptsAtBadWorkers(10, 0.1, worker -> true, Outcome.FAILED);
        harness.advance(11);
        for (int i = 0; i < 12; i++) {
            harness.serve(0.1, 0.1);
        }
        assertTrue(
                harness.attemptsAtBadWorkers(30, 0.1, worker -> worker == 1, Outcome.FAILED) <= 4);
    }

    /** Prevents a worker that errs at once, sheds its work, and so looks cheapest. */
    @Test
    public void aWorkerThatFailsFastIsEjected() {
        int toBad = harness().attemptsAtBadWorkers(100, 0.1, worker -> worker == 1, Outcome.FAILED);
        assertTrue(toBad < 12, "attempts to the failing worker: " + toBad);
    }

    @Test
    public void aWorkerThatRejectsIsBackedOffFrom() {
        PolicyHarness harness = harness();
        RequestHandle handle = harness.accept(0.1);
        final long full = harness.lastWorker();
        harness.endAttempt(handle, 0, Outcome.REJECTED);
        assertNotEquals(harness.lastWorker(), full);
        assertNotEquals(harness.serve(0.1, 0.05), full);
    }

    /** Prevents unreachable workers that come back into the choice because most are unreachable. */
    @Test
    public void moreThanHalfOfTheWorkersCanBeEjected() {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(4);
        int dead =
                harness.attemptsAtBadWorkers(
                        100, 0.01, worker -> worker > 1, Outcome.CONNECT_FAILED);
        assertTrue(dead < 20, "attempts to unreachable workers: " + dead);
    }

    @DataProvider
    public Object[][] servesSome() {
        return new Object[][] {
            // effect, group, seconds since its last answer, attempts it gets while the other worker
            // fills up
            {Idempotency.IDEMPOTENT, IdempotencyScope.CELL, 0.0, 1L},
            {Idempotency.IDEMPOTENT_BY_KEY, IdempotencyScope.ALL, 0.0, 1L},
            // An error there would bind these to their group, or end them.
            {Idempotency.IDEMPOTENT_BY_KEY, IdempotencyScope.ZONE, 0.0, 0L},
            {Idempotency.IDEMPOTENT_BY_KEY, IdempotencyScope.CELL, 0.0, 0L},
            {Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, 0.0, 0L},
            {Idempotency.IDEMPOTENT, IdempotencyScope.ALL, 2.0, 0L},
        };
    }

    /**
     * While half of a fleet errs now and then, the other half is full: a fifth of all was rejected
     * beside workers that still answered half of what came.
     */
    @Test(dataProvider = "servesSome")
    public void anEjectedWorkerThatServesSomeComesBeforeARejection(
            Idempotency idempotency, IdempotencyScope scope, double ago, long attempts) {
        PolicyHarness harness =
                PolicyHarness.of(idempotency, scope)
                        .listWorkers(2)
                        .updateWorker(2, Double.NaN, State.DRAINING);
        // Ejected, with a pause that outlasts this case; every other attempt is answered.
        for (int i = 0; i < 5; i++) {
            for (Outcome outcome : new Outcome[] {Outcome.FAILED, Outcome.SUCCEEDED}) {
                RequestHandle handle = harness.accept(0.1);
                harness.advance(0.02);
                for (int attempt = 0; !handle.isComplete(); attempt++) {
                    harness.endAttempt(handle, attempt, attempt == 0 ? outcome : Outcome.SUCCEEDED);
                }
            }
        }
        harness.updateWorker(2, Double.NaN, State.READY).advance(ago).acceptUntilRejection(1);
        assertEquals(
                harness.actions.stream()
                        .filter(did -> did.startsWith("attempt") && did.endsWith(" 1"))
                        .count(),
                attempts,
                harness.actions.toString());
    }

    /** Failures go along: a worker ejected at the old process is no fresh one to the new. */
    @Test
    public void aSuccessorKeepsEjections() {
        PolicyHarness old =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.ALL).listWorkers(2);
        old.attemptsAtBadWorkers(3, 0.2, worker -> true, Outcome.FAILED);
        assertEquals(old.policy.avoidedEndpoints(), 2);
        PolicyHarness next =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.ALL).listWorkers(2);
        next.policy.importState(old.policy.exportState());
        assertEquals(next.policy.avoidedEndpoints(), 2);
    }
}
