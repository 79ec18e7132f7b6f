package wheelroute.decision.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Endpoint;
import wheelroute.decision.Ids;
import wheelroute.decision.estimates.CacheMissCost;

/** Tests the workers that are preferred for a key, and the learned cost of a cache miss. */
public class KeyAffinityTest {
    private static final int KEYS = 400;

    private static Endpoint worker(long id, String model, double weight) {
        return new Endpoint(
                new Ids.Worker(id),
                new Ids.Model(model),
                weight,
                new Ids.Zone("z"),
                Double.NaN,
                new Ids.Cell(0),
                Endpoint.State.READY);
    }

    private static List<Endpoint> fleet(int count) {
        List<Endpoint> fleet = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            fleet.add(worker(1000 + 7L * i, i % 2 == 0 ? "even" : "odd", 1));
        }
        return fleet;
    }

    private static KeyAffinity<Endpoint> affinity(List<Endpoint> fleet) {
        KeyAffinity<Endpoint> affinity = new KeyAffinity<>(w -> w);
        affinity.setFleet(fleet);
        return affinity;
    }

    private static Ids.Key key(int i) {
        return new Ids.Key(String.format("%016x", 77L * i));
    }

    /**
     * Dispatchers exchange nothing about keys and list the workers in different orders, so the
     * preference must depend only on key and endpoints.
     */
    @Test
    public void allDispatchersPreferTheSameWorkers() {
        List<Endpoint> fleet = fleet(20);
        List<Endpoint> shuffled = new ArrayList<>(fleet);
        Collections.shuffle(shuffled, new Random(3));
        KeyAffinity<Endpoint> a = affinity(fleet);
        KeyAffinity<Endpoint> b = affinity(shuffled);
        for (int i = 0; i < KEYS; i++) {
            assertEquals(a.forKey(key(i)).preferred(null), b.forKey(key(i)).preferred(null));
            assertEquals(
                    Set.copyOf(a.forKey(key(i)).preferred(null)).size(),
                    KeyAffinity.PREFERRED_COUNT);
        }
    }

    @Test
    public void removedWorkerMovesOnlyItsOwnKeys() {
        List<Endpoint> fleet = fleet(20);
        KeyAffinity<Endpoint> affinity = affinity(fleet);
        List<Endpoint> before = new ArrayList<>();
        for (int i = 0; i < KEYS; i++) {
            before.add(affinity.forKey(key(i)).preferred(null).get(0));
        }
        Endpoint lost = fleet.get(4);
        affinity.setFleet(fleet.stream().filter(w -> w != lost).toList());
        int moved = 0;
        for (int i = 0; i < KEYS; i++) {
            Endpoint now = affinity.forKey(key(i)).preferred(null).get(0);
            assertTrue(
                    now == before.get(i) || before.get(i) == lost,
                    "key moved from a worker that was not removed: " + i);
            moved += now != before.get(i) ? 1 : 0;
        }
        assertTrue(moved > KEYS / 50 && moved < KEYS / 8, "keys moved: " + moved);
    }

    @Test
    public void prefersOnlyWorkersOfTheModel() {
        KeyAffinity<Endpoint> affinity = affinity(fleet(20));
        for (int i = 0; i < KEYS; i++) {
            assertTrue(
                    affinity.forKey(key(i)).preferred(new Ids.Model("odd")).stream()
                            .allMatch(w -> w.model().name().equals("odd")));
        }
        assertEquals(affinity.forKey(key(0)).preferred(new Ids.Model("none")), List.of());
    }

    @DataProvider
    public Object[][] weights() {
        return new Object[][] {
            // weight of one of ten workers, minimum and maximum number of 400 keys that prefer it
            {1.0, 20, 65},
            {4.0, 85, 165},
            {0.0, 0, 8},
            {Double.NaN, 0, 8},
        };
    }

    @Test(dataProvider = "weights")
    public void prefersHeavierWorkerForMoreKeys(double weight, int min, int max) {
        List<Endpoint> fleet = fleet(9);
        Endpoint heavy = worker(5, "odd", Double.isNaN(weight) ? 0 : weight);
        fleet.add(heavy);
        KeyAffinity<Endpoint> affinity = affinity(fleet);
        int preferredCount = 0;
        Set<Endpoint> all = new HashSet<>();
        for (int i = 0; i < KEYS; i++) {
            Endpoint first = affinity.forKey(key(i)).preferred(null).get(0);
            all.add(first);
            preferredCount += first == heavy ? 1 : 0;
        }
        assertTrue(
                preferredCount >= min && preferredCount <= max,
                "keys that prefer the worker: " + preferredCount);
        assertTrue(all.size() >= 9);
    }

    @Test
    public void assumesKeyIsEvictedAfterEightLaterAttempts() {
        KeyAffinity<Endpoint> affinity = affinity(fleet(3));
        KeyAffinity<Endpoint>.CacheLocations key = affinity.forKey(key(1));
        Endpoint sentTo = fleet(3).get(1);
        key.recordAttempt(sentTo, 10);
        for (int attempts = 10; attempts < 20; attempts++) {
            Set<Endpoint> recent = new HashSet<>();
            int now = attempts;
            key.forEachRecent(w -> now, recent::add);
            assertEquals(
                    recent.contains(sentTo), attempts < 18, "later attempts: " + (attempts - 10));
        }
    }

    @Test
    public void forgetsLeastRecentlyUsedKey() {
        KeyAffinity<Endpoint> affinity = affinity(fleet(3));
        KeyAffinity<Endpoint>.CacheLocations first = affinity.forKey(key(0));
        assertTrue(affinity.forKey(key(0)) == first);
        for (int i = 1; i < 3000; i++) {
            affinity.forKey(key(i));
        }
        assertTrue(affinity.forKey(key(0)) != first);
    }

    @DataProvider
    public Object[][] missTimes() {
        return new Object[][] {
            // seconds by which a run without cached data takes longer, minimum and maximum of the
            // learned cost
            {0.0, 0.0, 0.01},
            {0.5, 0.45, 0.55},
            {3.0, 2.8, 3.2},
            {-0.5, 0.0, 0.0},
        };
    }

    /** The noise of long jobs must not hide the cost that short jobs show. */
    @Test(dataProvider = "missTimes")
    public void learnsCostOfMissFromJobsOfDifferentSize(
            double missSeconds, double min, double max) {
        CacheMissCost missCost = new CacheMissCost();
        Random random = new Random(5);
        missCost.update(1);
        for (int i = 0; i < 60; i++) {
            double work = i % 2 == 0 ? 0.05 : 8;
            missCost.record(
                    i,
                    KeyAffinity.PREFERRED_COUNT,
                    work,
                    missSeconds + work * (random.nextDouble() - 0.5));
        }
        missCost.update(1);
        double learned = missCost.expectedSeconds(KeyAffinity.PREFERRED_COUNT);
        assertTrue(learned >= min && learned <= max, "learned cost in seconds: " + learned);
        assertEquals(missCost.expectedSeconds(KeyAffinity.CACHED), 0.0);
        assertEquals(
                missCost.missProbability(KeyAffinity.PREFERRED_COUNT), learned > 0 ? 1.0 : 0.0);
    }
}
