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

/** Tests the ejection of workers and the requests that an ejected worker still gets. */
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

    /** Requests that fail on every worker must cost only one attempt each. */
    @Test
    public void ejectsNoWorkerWhileErrorsAreAttributedToRequests() {
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
        assertEquals(lateAttempts, 10, "attempts of the last ten failing requests");
        assertEquals(harness.policy.avoidedEndpointCount(), 0);
    }

    /** The retries by which errors were attributed to requests count only for a limited time. */
    @Test
    public void ejectsFailingWorkerAfterErrorsWereAttributedToRequests() {
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

    /** A worker that fails fast has no queue and would have the least cost. */
    @Test
    public void ejectsWorkerThatFailsFast() {
        int attemptsAtFailing =
                harness().attemptsAtBadWorkers(100, 0.1, worker -> worker == 1, Outcome.FAILED);
        assertTrue(attemptsAtFailing < 12, "attempts at the failing worker: " + attemptsAtFailing);
    }

    @Test
    public void backsOffFromWorkerThatRejects() {
        PolicyHarness harness = harness();
        RequestHandle handle = harness.accept(0.1);
        final long rejecting = harness.lastWorker();
        harness.endAttempt(handle, 0, Outcome.REJECTED);
        assertNotEquals(harness.lastWorker(), rejecting);
        assertNotEquals(harness.serve(0.1, 0.05), rejecting);
    }

    @Test
    public void ejectsMoreThanHalfOfTheWorkersIfTheyFail() {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(4);
        int attemptsAtUnreachable =
                harness.attemptsAtBadWorkers(
                        100, 0.01, worker -> worker > 1, Outcome.CONNECT_FAILED);
        assertTrue(
                attemptsAtUnreachable < 20,
                "attempts at unreachable workers: " + attemptsAtUnreachable);
    }

    @DataProvider
    public Object[][] fallbacks() {
        return new Object[][] {
            // idempotency, its scope, seconds since the last success, attempts that the ejected
            // worker gets while the other one's queue grows
            {Idempotency.IDEMPOTENT, IdempotencyScope.CELL, 0.0, 1L},
            {Idempotency.IDEMPOTENT_BY_KEY, IdempotencyScope.ALL, 0.0, 1L},
            // After an error, these requests could be retried only within the scope or not at all.
            {Idempotency.IDEMPOTENT_BY_KEY, IdempotencyScope.ZONE, 0.0, 0L},
            {Idempotency.IDEMPOTENT_BY_KEY, IdempotencyScope.CELL, 0.0, 0L},
            {Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, 0.0, 0L},
            {Idempotency.IDEMPOTENT, IdempotencyScope.ALL, 2.0, 0L},
        };
    }

    /**
     * An ejected worker that still answers half of its requests must be used before requests are
     * rejected.
     */
    @Test(dataProvider = "fallbacks")
    public void usesEjectedWorkerThatStillAnswersBeforeRejecting(
            Idempotency idempotency,
            IdempotencyScope scope,
            double secondsSinceSuccess,
            long attempts) {
        PolicyHarness harness =
                PolicyHarness.of(idempotency, scope)
                        .listWorkers(2)
                        .updateWorker(2, Double.NaN, State.DRAINING);
        // These failures delay the next trial of the ejected worker until after the end of this
        // test.
        for (int i = 0; i < 5; i++) {
            for (Outcome outcome : new Outcome[] {Outcome.FAILED, Outcome.SUCCEEDED}) {
                RequestHandle handle = harness.accept(0.1);
                harness.advance(0.02);
                for (int attempt = 0; !handle.isComplete(); attempt++) {
                    harness.endAttempt(handle, attempt, attempt == 0 ? outcome : Outcome.SUCCEEDED);
                }
            }
        }
        harness.updateWorker(2, Double.NaN, State.READY)
                .advance(secondsSinceSuccess)
                .acceptUntilRejection(1);
        assertEquals(
                harness.actions.stream()
                        .filter(action -> action.startsWith("attempt") && action.endsWith(" 1"))
                        .count(),
                attempts,
                harness.actions.toString());
    }

    @Test
    public void successorKeepsEjections() {
        PolicyHarness predecessor =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.ALL).listWorkers(2);
        predecessor.attemptsAtBadWorkers(3, 0.2, worker -> true, Outcome.FAILED);
        assertEquals(predecessor.policy.avoidedEndpointCount(), 2);
        PolicyHarness successor =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.ALL).listWorkers(2);
        successor.policy.importState(predecessor.policy.exportState());
        assertEquals(successor.policy.avoidedEndpointCount(), 2);
    }
}
