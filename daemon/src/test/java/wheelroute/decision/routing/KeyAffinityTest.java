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

/** Keys' homes, and what a fetch is learned to take. */
public class KeyAffinityTest {
    private static final int KEYS = 400;

    private static Endpoint worker(long id, String model, double size) {
        return new Endpoint(
                new Ids.Worker(id),
                new Ids.Model(model),
                size,
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

    /** Nobody tells anybody: the order in which workers came to be known must not matter. */
    @Test
    public void allDispatchersReckonTheSameHomes() {
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

    /** A worker that leaves moves only the keys that it was home to. */
    @Test
    public void aLossMovesOnlyItsOwnKeys() {
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
            assertTrue(now == before.get(i) || before.get(i) == lost, "key " + i);
            moved += now != before.get(i) ? 1 : 0;
        }
        assertTrue(moved > KEYS / 50 && moved < KEYS / 8, "moved " + moved);
    }

    @Test
    public void requestsOfAModelPreferItsWorkers() {
        KeyAffinity<Endpoint> affinity = affinity(fleet(20));
        for (int i = 0; i < KEYS; i++) {
            assertTrue(
                    affinity.forKey(key(i)).preferred(new Ids.Model("odd")).stream()
                            .allMatch(w -> w.model().name().equals("odd")));
        }
        assertEquals(affinity.forKey(key(0)).preferred(new Ids.Model("none")), List.of());
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {
            // the size of one of ten workers, the least and the most of 400 keys it is home to
            {1.0, 20, 65},
            {4.0, 85, 165},
            {0.0, 0, 8},
            {Double.NaN, 0, 8},
        };
    }

    @Test(dataProvider = "sizes")
    public void aHeavierWorkerIsPreferredForMoreKeys(double size, int min, int max) {
        List<Endpoint> fleet = fleet(9);
        Endpoint heavy = worker(5, "odd", Double.isNaN(size) ? 0 : size);
        fleet.add(heavy);
        KeyAffinity<Endpoint> affinity = affinity(fleet);
        int preferredCount = 0;
        Set<Endpoint> all = new HashSet<>();
        for (int i = 0; i < KEYS; i++) {
            Endpoint first = affinity.forKey(key(i)).preferred(null).get(0);
            all.add(first);
            preferredCount += first == heavy ? 1 : 0;
        }
        assertTrue(preferredCount >= min && preferredCount <= max, "home to " + preferredCount);
        assertTrue(all.size() >= 9);
    }

    /** It is remembered until other keys must have taken its room there. */
    @Test
    public void aKeyIsTakenToBeEvictedAfterOtherAttempts() {
        KeyAffinity<Endpoint> affinity = affinity(fleet(3));
        KeyAffinity<Endpoint>.Placement key = affinity.forKey(key(1));
        Endpoint sentTo = fleet(3).get(1);
        key.recordAttempt(sentTo, 10);
        for (int attempts = 10; attempts < 20; attempts++) {
            Set<Endpoint> recent = new HashSet<>();
            int now = attempts;
            key.forEachRecent(w -> now, recent::add);
            assertEquals(recent.contains(sentTo), attempts < 18, "after " + (attempts - 10));
        }
    }

    /** One is a key more than is remembered; none of them may take memory for ever. */
    @Test
    public void keysThatComeOnceAreForgotten() {
        KeyAffinity<Endpoint> affinity = affinity(fleet(3));
        KeyAffinity<Endpoint>.Placement first = affinity.forKey(key(0));
        assertTrue(affinity.forKey(key(0)) == first);
        for (int i = 1; i < 3000; i++) {
            affinity.forKey(key(i));
        }
        assertTrue(affinity.forKey(key(0)) != first);
    }

    @DataProvider
    public Object[][] fetches() {
        return new Object[][] {
            // how much longer a run away from home takes, the least and the most that is learned,
            // in seconds
            {0.0, 0.0, 0.01},
            {0.5, 0.45, 0.55},
            {3.0, 2.8, 3.2},
            {-0.5, 0.0, 0.0},
        };
    }

    /** Jobs of very different size: the long ones' noise must not hide what the short ones show. */
    @Test(dataProvider = "fetches")
    public void theCostOfAMissIsLearnedFromRuns(double longer, double min, double max) {
        CacheMissCost missCost = new CacheMissCost();
        Random random = new Random(5);
        missCost.update(1);
        for (int i = 0; i < 60; i++) {
            double work = i % 2 == 0 ? 0.05 : 8;
            missCost.record(
                    i,
                    KeyAffinity.PREFERRED_COUNT,
                    work,
                    longer + work * (random.nextDouble() - 0.5));
        }
        missCost.update(1);
        double time = missCost.expectedSeconds(KeyAffinity.PREFERRED_COUNT);
        assertTrue(time >= min && time <= max, "learned " + time);
        assertEquals(missCost.expectedSeconds(KeyAffinity.CACHED), 0.0);
        assertEquals(missCost.missProbability(KeyAffinity.PREFERRED_COUNT), time > 0 ? 1.0 : 0.0);
    }
}
