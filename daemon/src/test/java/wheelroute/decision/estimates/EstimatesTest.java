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

/** Speeds, slots, waits and cost estimates as they are learned. */
public class EstimatesTest {
    @DataProvider
    public Object[][] ages() {
        // Seconds since a worker's start, and whether it is always chosen beside one that has
        // waits.
        return new Object[][] {{5.0, true}, {19.0, true}, {21.0, false}, {25.0, false}};
    }

    /**
     * Prevents taking a warming worker for as busy as its model, and against all taking to a warm
     * one.
     */
    @Test(dataProvider = "ages")
    public void onlyAWarmingWorkerIsTakenToHaveNoQueue(double age, boolean always) {
        int chosen = 0;
        for (int learned = 10; learned < 30; learned++) {
            PolicyHarness harness =
                    PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(1);
            for (int i = 0; i < learned; i++) {
                RequestHandle handle = harness.accept(0.1);
                // It waited less lately than is usual: a warm one beside it must not look better
                // still.
                harness.advance(i < learned - 8 ? 0.8 : 0.3);
                handle.onStarted(0);
                harness.advance(0.1);
                harness.endAttempt(handle, 0, Outcome.SUCCEEDED);
            }
            harness.updateWorker(2, harness.now - age, State.READY).accept(0.1);
            chosen += harness.lastWorker() == 2 ? 1 : 0;
        }
        assertTrue(always ? chosen == 20 : chosen < 20, "chosen " + chosen + " times of 20");
    }

    @DataProvider
    public Object[][] overlaps() {
        return new Object[][] {
            // how long a second start was known before the end of the first, attempts until the
            // first rejection
            {0.02, 2},
            {0.2, 4},
        };
    }

    /** Prevents a start that overtakes an end: slots counted then only ever grow. */
    @Test(dataProvider = "overlaps")
    public void onlySettledStartsCountAsSlots(double overlap, int attempts) {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(1);
        RequestHandle first = harness.accept(1);
        RequestHandle second = harness.accept(1);
        first.onStarted(0);
        harness.advance(1);
        second.onStarted(0);
        harness.advance(overlap).policy.onWakeup();
        harness.endAttempt(first, 0, Outcome.SUCCEEDED);
        harness.advance(1 - overlap);
        harness.endAttempt(second, 0, Outcome.SUCCEEDED);
        harness.advance(60).acceptUntilRejection(1);
        assertEquals(harness.countActions("attempt"), attempts, harness.actions.toString());
    }

    @DataProvider
    public Object[][] estimatesAndRuns() {
        return new Object[][] {
            // whether runs follow their hints, what comes after a hint of 9 s
            {true, "reject"},
            {false, "attempt"},
        };
    }

    /** Prevents rough hints taken at their word. */
    @Test(dataProvider = "estimatesAndRuns")
    public void estimatesCountAsFarAsRunsFollowThem(boolean follow, String next) {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(1);
        for (int i = 0; i < 60; i++) {
            double estimatedWork = i % 2 == 0 ? 0.05 : 1.0;
            harness.serve(estimatedWork, follow ? estimatedWork : 0.5);
        }
        harness.accept(9).onStarted(0);
        harness.accept(0.05);
        assertTrue(harness.lastAction().startsWith(next), harness.actions.toString());
    }

    /**
     * Prevents a release that makes its whole model look slow: cold runs tell of the worker alone.
     */
    @Test
    public void aModelLearnsFromWarmRunsOnly() {
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
                "a new worker starts at the speed of warm ones: " + harness.actions);
    }

    /**
     * Prevents coldness counted twice: one still cold is preferred to one that is slower for good.
     */
    @Test
    public void warmupIsCountedOnce() {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL)
                        .updateWorker(2, Double.NaN, State.READY);
        for (int i = 0; i < 8; i++) {
            harness.serve(0.1, 0.1 / 0.42);
        }
        double start = harness.now - 8;
        harness.updateWorker(2, Double.NaN, State.DRAINING).updateWorker(1, start, State.READY);
        for (int i = 0; i < 8; i++) {
            // What it can do at this point of its ramp of 20 s: a run takes so much longer.
            assertEquals(harness.serve(0.1, 0.1 / (0.25 + 0.75 * (harness.now - start) / 20)), 1);
        }
        harness.updateWorker(2, Double.NaN, State.READY).accept(0.1);
        assertEquals(harness.lastWorker(), 1, harness.actions.toString());
    }

    /**
     * A process that takes another's place knows the workers as the other did, from its first
     * choice on.
     */
    @Test
    public void aSuccessorUsesWhatItsPredecessorLearned() {
        PolicyHarness old =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.ALL).listWorkers(2);
        for (int i = 0; i < 40; i++) {
            old.actions.clear();
            RequestHandle handle = old.accept(0.2);
            boolean slow = old.lastWorker() == 1;
            handle.onStarted(0);
            old.advance(slow ? 1 : 0.2);
            old.endAttempt(handle, 0, Outcome.SUCCEEDED);
        }
        PolicyHarness knows =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.ALL)
                        .listWorkers(2)
                        .advance(5);
        knows.policy.importState(old.policy.exportState());
        long slowByOne = 0;
        for (int i = 0; i < 10; i++) {
            slowByOne += knows.advance(2).serve(0.2, 0.2) == 1 ? 1 : 0;
        }
        assertEquals(slowByOne, 0);
    }
}
