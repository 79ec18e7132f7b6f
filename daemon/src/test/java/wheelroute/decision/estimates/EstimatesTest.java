package wheelroute.decision.estimates;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Endpoint.State;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;
import wheelroute.decision.Outcome;
import wheelroute.decision.PolicyHarness;
import wheelroute.decision.RequestHandle;

/**
 * Tests how measured speeds, slots and waits, and the accuracy of cost estimates, affect the choice
 * of a worker.
 */
public class EstimatesTest {
    @DataProvider
    public Object[][] ages() {
        // The seconds since the start of a new worker, and whether the new worker is always chosen
        // over one with measured waits.
        return new Object[][] {{5.0, true}, {19.0, true}, {21.0, false}, {25.0, false}};
    }

    /**
     * Guards against all requests preferring a worker that has just finished its slow start: the
     * mean wait of its model must apply to the worker from then on.
     */
    @Test(dataProvider = "ages")
    public void assumesNoQueueOnlyInSlowStart(double ageSeconds, boolean alwaysChosen) {
        int chosen = 0;
        for (int requests = 10; requests < 30; requests++) {
            PolicyHarness harness =
                    PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(1);
            for (int i = 0; i < requests; i++) {
                RequestHandle handle = harness.accept(0.1);
                // The last waits are shorter, so that the mean wait of the model is above the mean
                // wait of this worker.
                harness.advance(i < requests - 8 ? 0.8 : 0.3);
                handle.onStarted(0);
                harness.advance(0.1);
                harness.endAttempt(handle, 0, Outcome.SUCCEEDED);
            }
            harness.updateWorker(2, harness.now - ageSeconds, State.READY).accept(0.1);
            chosen += harness.lastWorker() == 2 ? 1 : 0;
        }
        assertTrue(
                alwaysChosen ? chosen == 20 : chosen < 20,
                "the new worker was chosen " + chosen + " times of 20");
    }

    @DataProvider
    public Object[][] overlaps() {
        return new Object[][] {
            // The seconds from the second start to the end of the first job, and the number of
            // attempts before the first rejection.
            {0.02, 2},
            {0.2, 4},
        };
    }

    /**
     * Guards against counting a slot too many when the message about the start of a job overtakes
     * the message about the end of the previous one.
     */
    @Test(dataProvider = "overlaps")
    public void countsSlotOnlyForJobsThatOverlapLongEnough(double overlapSeconds, int attempts) {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(1);
        RequestHandle first = harness.accept(1);
        RequestHandle second = harness.accept(1);
        first.onStarted(0);
        harness.advance(1);
        second.onStarted(0);
        harness.advance(overlapSeconds).policy.onWakeup();
        harness.endAttempt(first, 0, Outcome.SUCCEEDED);
        harness.advance(1 - overlapSeconds);
        harness.endAttempt(second, 0, Outcome.SUCCEEDED);
        harness.advance(60).acceptUntilRejection(1);
        assertEquals(harness.countActions("attempt"), attempts, harness.actions.toString());
    }

    @DataProvider
    public Object[][] estimatesAndRuns() {
        return new Object[][] {
            // Whether runs match their estimates, and the expected action for a request that
            // follows one with an estimate of 9 s.
            {true, "reject"},
            {false, "attempt"},
        };
    }

    @Test(dataProvider = "estimatesAndRuns")
    public void trustsCostEstimatesAsFarAsRunsFollowThem(
            boolean runsMatchEstimates, String nextAction) {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(1);
        for (int i = 0; i < 60; i++) {
            double estimatedWork = i % 2 == 0 ? 0.05 : 1.0;
            harness.serve(estimatedWork, runsMatchEstimates ? estimatedWork : 0.5);
        }
        harness.accept(9).onStarted(0);
        harness.accept(0.05);
        assertTrue(harness.lastAction().startsWith(nextAction), harness.actions.toString());
    }

    /**
     * Guards against a release, after which many workers are in slow start, making their model look
     * slow.
     */
    @Test
    public void modelIgnoresRunsInSlowStart() {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(1);
        for (int i = 0; i < 5; i++) {
            harness.serve(0.2, 0.2);
        }
        harness.updateWorker(1, Double.NaN, State.DRAINING)
                .updateWorker(2, harness.now, State.READY);
        for (int i = 0; i < 9; i++) {
            harness.serve(0.2, 0.8);
        }
        harness.advance(60)
                .updateWorker(2, Double.NaN, State.REMOVED)
                .updateWorker(3, Double.NaN, State.READY);
        harness.acceptUntilRejection(0.5);
        assertTrue(
                harness.countActions("attempt") >= 3,
                "a new worker was not assumed to be as fast as its model: " + harness.actions);
    }

    /**
     * Guards against judging a worker by its runs in slow start: the worker must be preferred to
     * one that is permanently slower.
     */
    @Test
    public void scalesRunsInSlowStartToFullSpeed() {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL)
                        .updateWorker(2, Double.NaN, State.READY);
        for (int i = 0; i < 8; i++) {
            harness.serve(0.1, 0.1 / 0.42);
        }
        double start = harness.now - 8;
        harness.updateWorker(2, Double.NaN, State.DRAINING).updateWorker(1, start, State.READY);
        for (int i = 0; i < 8; i++) {
            // The run time is divided by the ramp fraction at this point of a slow start of 20 s.
            assertEquals(harness.serve(0.1, 0.1 / (0.25 + 0.75 * (harness.now - start) / 20)), 1);
        }
        harness.updateWorker(2, Double.NaN, State.READY).accept(0.1);
        assertEquals(harness.lastWorker(), 1, harness.actions.toString());
    }

    @Test
    public void successorChoosesByWhatItsPredecessorLearned() {
        PolicyHarness predecessor =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.ALL).listWorkers(2);
        for (int i = 0; i < 40; i++) {
            predecessor.actions.clear();
            RequestHandle handle = predecessor.accept(0.2);
            boolean slow = predecessor.lastWorker() == 1;
            handle.onStarted(0);
            predecessor.advance(slow ? 1 : 0.2);
            predecessor.endAttempt(handle, 0, Outcome.SUCCEEDED);
        }
        PolicyHarness successor =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.ALL)
                        .listWorkers(2)
                        .advance(5);
        successor.policy.importState(predecessor.policy.exportState());
        long atSlowWorker = 0;
        for (int i = 0; i < 10; i++) {
            atSlowWorker += successor.advance(2).serve(0.2, 0.2) == 1 ? 1 : 0;
        }
        assertEquals(atSlowWorker, 0);
    }
}
