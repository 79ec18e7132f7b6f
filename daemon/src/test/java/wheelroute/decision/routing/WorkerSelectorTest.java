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

/** Which worker is chosen, and what an affinity of keys counts for. */
public class WorkerSelectorTest {
    private static PolicyHarness harness() {
        return PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(2);
    }

    @DataProvider
    public Object[][] costs() {
        return new Object[][] {
            // speed of worker 1, speed of worker 2, work already at 1, the choice
            {1.0, 0.5, 0.0, 1L},
            {0.5, 1.0, 0.0, 2L},
            {1.0, 0.5, 3.0, 2L},
            {1.0, 1.0, 0.5, 2L},
        };
    }

    /** Equal workers but for speed and backlog: the least of b(u+a) + kappa(2ua+a²). */
    @Test(dataProvider = "costs")
    public void picksTheLeastAdmittanceCost(
            double speed1, double speed2, double ahead, long choice) {
        PolicyHarness harness = harness();
        for (int i = 0; i < 40; i++) {
            double estimatedWork = 0.2;
            harness.actions.clear();
            RequestHandle handle = harness.accept(estimatedWork);
            double speed = harness.lastWorker() == 1 ? speed1 : speed2;
            handle.onStarted(0);
            harness.pass(estimatedWork / speed);
            harness.end(handle, 0, Outcome.SUCCEEDED);
        }
        if (ahead > 0) {
            harness.update(2, Double.NaN, State.DRAINING);
            harness.accept(ahead);
            harness.update(2, Double.NaN, State.READY);
        }
        harness.accept(0.2);
        assertEquals(harness.lastWorker(), choice);
    }

    @Test
    public void nearTiesAreDrawnAndTheSameEventsGiveTheSameDraws() {
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

    /** Two dispatchers that never spoke send a key to one worker, and another when that is busy. */
    @Test
    public void requestsOfAKeyGoWhereItIsCached() {
        Set<Long> preferred = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            String key = "key" + i;
            PolicyHarness a =
                    PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(3);
            PolicyHarness b =
                    PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(3);
            b.serve(0.1, 0.1);
            a.accept("job", "t", 0.5, a.now + PolicyHarness.TIMEOUT, key);
            b.accept("job", "t", 0.5, b.now + PolicyHarness.TIMEOUT, key);
            final long first = a.lastWorker();
            assertEquals(b.lastWorker(), first);
            preferred.add(first);
            a.accept("job", "t", 0.5, a.now + PolicyHarness.TIMEOUT, key);
            assertNotEquals(a.lastWorker(), first, "a queue costs more than a fetch");
        }
        assertTrue(preferred.size() > 1, preferred.toString());
    }

    @DataProvider
    public Object[][] missCosts() {
        // how long a fetch takes, the least and the most of 20 new keys that go to the fastest of
        // three
        return new Object[][] {{0.0, 13, 20}, {0.3, 0, 11}};
    }

    /**
     * Busy spells send keys away from home; what that took is learned, and whether the fastest is
     * best.
     */
    @Test(dataProvider = "missCosts")
    public void theCostOfAMissIsLearned(double fetch, int min, int max) {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(3);
        Set<String> kept = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            List<RequestHandle> handles = new ArrayList<>();
            List<Double> runs = new ArrayList<>();
            for (int job = 0; job < 3; job++) {
                String key = "key" + (3 * i + job) % 10;
                harness.actions.clear();
                handles.add(
                        harness.accept("job", "t", 0.1, harness.now + PolicyHarness.TIMEOUT, key));
                handles.get(job).onStarted(0);
                boolean fetched = kept.add(key + " " + harness.lastWorker()) || job == 2;
                runs.add((harness.lastWorker() == 2 ? 0.05 : 0.1) + (fetched ? fetch : 0));
            }
            double passed = 0;
            for (double until : runs.stream().sorted().toList()) {
                harness.pass(until - passed);
                passed = until;
                for (int job = 0; job < 3; job++) {
                    if (runs.get(job) == until) {
                        harness.end(handles.get(job), 0, Outcome.SUCCEEDED);
                    }
                }
            }
        }
        int fastest = 0;
        for (int i = 10; i < 30; i++) {
            harness.actions.clear();
            RequestHandle handle =
                    harness.accept("job", "t", 0.1, harness.now + PolicyHarness.TIMEOUT, "key" + i);
            fastest += harness.lastWorker() == 2 ? 1 : 0;
            harness.end(handle, 0, Outcome.CANCELLED);
            handle.onClientGone();
        }
        assertTrue(fastest >= min && fastest <= max, "went to the fastest: " + fastest);
    }

    @DataProvider
    public Object[][] oddEstimates() {
        return new Object[][] {{0.0}, {Double.NaN}, {1e-6}, {3000.0}, {1e9}};
    }

    @Test(dataProvider = "oddEstimates")
    public void oddEstimatesGetOneAnswer(double estimatedWork) {
        PolicyHarness harness = harness();
        RequestHandle handle = harness.accept(estimatedWork);
        assertEquals(harness.count("attempt") + harness.count("reject"), 1);
        if (!handle.isComplete()) {
            harness.end(handle, 0, Outcome.SUCCEEDED);
        }
        assertTrue(handle.isComplete());
        harness.serve(0.1, 0.1);
    }

    /** Prevents a crossing without end to its price: a hint of nothing is no hint. */
    @Test
    public void anEstimateOfZeroMayCrossZones() {
        PolicyHarness harness =
                new PolicyHarness(new PolicyHarness.SettingsFixture())
                        .update(4, Double.NaN, State.READY);
        harness.accept(0);
        assertEquals(harness.lastWorker(), 4);
    }
}
