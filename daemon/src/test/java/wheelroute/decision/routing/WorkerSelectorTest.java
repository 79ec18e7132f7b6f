package wheelroute.decision.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Endpoint.State;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;
import wheelroute.decision.Outcome;
import wheelroute.decision.PolicyHarness;
import wheelroute.decision.RequestHandle;

/** Tests the choice of a worker by cost, ties, key affinity and zones. */
public class WorkerSelectorTest {
    private static PolicyHarness harness() {
        return PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(2);
    }

    @DataProvider
    public Object[][] costs() {
        return new Object[][] {
            // speed of worker 1, speed of worker 2, work in flight at 1, chosen worker
            {1.0, 0.5, 0.0, 1L},
            {0.5, 1.0, 0.0, 2L},
            {1.0, 0.5, 3.0, 2L},
            {1.0, 1.0, 0.5, 2L},
        };
    }

    /**
     * The workers differ only in speed and backlog, so the chosen one has the least b(u+a) +
     * kappa(2ua+a²).
     */
    @Test(dataProvider = "costs")
    public void choosesWorkerOfLeastAdmittanceCost(
            double speed1, double speed2, double workInFlight, long chosen) {
        PolicyHarness harness = harness();
        for (int i = 0; i < 40; i++) {
            double estimatedWork = 0.2;
            harness.actions.clear();
            RequestHandle handle = harness.accept(estimatedWork);
            double speed = harness.lastWorker() == 1 ? speed1 : speed2;
            handle.onStarted(0);
            harness.advance(estimatedWork / speed);
            harness.endAttempt(handle, 0, Outcome.SUCCEEDED);
        }
        if (workInFlight > 0) {
            harness.updateWorker(2, Double.NaN, State.DRAINING);
            harness.accept(workInFlight);
            harness.updateWorker(2, Double.NaN, State.READY);
        }
        harness.accept(0.2);
        assertEquals(harness.lastWorker(), chosen);
    }

    @Test
    public void drawsAmongNearTiesDeterministically() {
        Set<Long> chosen = new HashSet<>();
        PolicyHarness a = harness();
        PolicyHarness b = harness();
        for (int i = 0; i < 40; i++) {
            long byA = a.serve(0.1, 0.1);
            chosen.add(byA);
            assertEquals(b.serve(0.1, 0.1), byA);
        }
        assertEquals(chosen, Set.of(1L, 2L));
    }

    /**
     * Two dispatchers that share no state must prefer the same worker for a key, unless the worker
     * is busy.
     */
    @Test
    public void sendsRequestsOfKeyToItsPreferredWorker() {
        Set<Long> preferred = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            String key = "key" + i;
            PolicyHarness a =
                    PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(3);
            PolicyHarness b =
                    PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(3);
            b.serve(0.1, 0.1);
            a.accept("job", "t", 0.5, a.now + PolicyHarness.TIMEOUT_SECONDS, key);
            b.accept("job", "t", 0.5, b.now + PolicyHarness.TIMEOUT_SECONDS, key);
            final long first = a.lastWorker();
            assertEquals(b.lastWorker(), first);
            preferred.add(first);
            a.accept("job", "t", 0.5, a.now + PolicyHarness.TIMEOUT_SECONDS, key);
            assertNotEquals(a.lastWorker(), first, "a queue costs more than a cache miss");
        }
        assertTrue(preferred.size() > 1, preferred.toString());
    }

    @DataProvider
    public Object[][] missCosts() {
        // seconds that a cache miss takes, minimum and maximum number of 20 new keys that go to the
        // fastest of three workers
        return new Object[][] {{0.0, 13, 20}, {0.3, 0, 11}};
    }

    /**
     * While workers are busy, keys are sent to workers that are not preferred. The cost of that is
     * learned and decides whether a new key goes to the fastest worker.
     */
    @Test(dataProvider = "missCosts")
    public void learnsCostOfCacheMiss(double missSeconds, int min, int max) {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).listWorkers(3);
        Set<String> cached = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            runThreeAtOnce(harness, 3 * i, missSeconds, cached);
        }
        int fastestCount = 0;
        for (int i = 10; i < 30; i++) {
            harness.actions.clear();
            RequestHandle handle = acceptWithKey(harness, "key" + i);
            fastestCount += harness.lastWorker() == 2 ? 1 : 0;
            harness.endAttempt(handle, 0, Outcome.CANCELLED);
            handle.onClientGone();
        }
        assertTrue(
                fastestCount >= min && fastestCount <= max,
                "requests at the fastest worker: " + fastestCount);
    }

    private static RequestHandle acceptWithKey(PolicyHarness harness, String key) {
        double deadline = harness.now + PolicyHarness.TIMEOUT_SECONDS;
        return harness.accept("job", "t", 0.1, deadline, key);
    }

    /**
     * Runs three requests at the same time until they have ended. Worker 2 is twice as fast as the
     * others.
     */
    private static void runThreeAtOnce(
            PolicyHarness harness, int firstKey, double missSeconds, Set<String> cached) {
        List<RequestHandle> handles = new ArrayList<>();
        List<Double> runs = new ArrayList<>();
        for (int job = 0; job < 3; job++) {
            String key = "key" + (firstKey + job) % 10;
            harness.actions.clear();
            handles.add(acceptWithKey(harness, key));
            handles.get(job).onStarted(0);
            boolean missed = cached.add(key + " " + harness.lastWorker()) || job == 2;
            runs.add((harness.lastWorker() == 2 ? 0.05 : 0.1) + (missed ? missSeconds : 0));
        }
        double elapsed = 0;
        for (double until : runs.stream().sorted().toList()) {
            harness.advance(until - elapsed);
            elapsed = until;
            for (int job = 0; job < 3; job++) {
                if (runs.get(job) == until) {
                    harness.endAttempt(handles.get(job), 0, Outcome.SUCCEEDED);
                }
            }
        }
    }

    @DataProvider
    public Object[][] extremeEstimates() {
        return new Object[][] {{0.0}, {Double.NaN}, {1e-6}, {3000.0}, {1e9}};
    }

    @Test(dataProvider = "extremeEstimates")
    public void answersRequestWithExtremeEstimateOnce(double estimatedWork) {
        PolicyHarness harness = harness();
        RequestHandle handle = harness.accept(estimatedWork);
        assertEquals(harness.countActions("attempt") + harness.countActions("reject"), 1);
        if (!handle.isComplete()) {
            harness.endAttempt(handle, 0, Outcome.SUCCEEDED);
        }
        assertTrue(handle.isComplete());
        harness.serve(0.1, 0.1);
    }

    /**
     * The price of another zone is divided by the work, so an estimate of 0 must not be used as the
     * work.
     */
    @Test
    public void sendsRequestWithEstimateOfZeroToAnotherZone() {
        PolicyHarness harness =
                new PolicyHarness(new PolicyHarness.SettingsFixture())
                        .updateWorker(4, Double.NaN, State.READY);
        harness.accept(0);
        assertEquals(harness.lastWorker(), 4);
    }
}
