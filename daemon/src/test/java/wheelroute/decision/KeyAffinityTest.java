package wheelroute.decision;

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

    private static KeyAffinity<Endpoint> homes(List<Endpoint> fleet) {
        KeyAffinity<Endpoint> homes = new KeyAffinity<>(w -> w);
        homes.setFleet(fleet);
        return homes;
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
        KeyAffinity<Endpoint> a = homes(fleet);
        KeyAffinity<Endpoint> b = homes(shuffled);
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
        KeyAffinity<Endpoint> homes = homes(fleet);
        List<Endpoint> before = new ArrayList<>();
        for (int i = 0; i < KEYS; i++) {
            before.add(homes.forKey(key(i)).preferred(null).get(0));
        }
        Endpoint lost = fleet.get(4);
        homes.setFleet(fleet.stream().filter(w -> w != lost).toList());
        int moved = 0;
        for (int i = 0; i < KEYS; i++) {
            Endpoint now = homes.forKey(key(i)).preferred(null).get(0);
            assertTrue(now == before.get(i) || before.get(i) == lost, "key " + i);
            moved += now != before.get(i) ? 1 : 0;
        }
        assertTrue(moved > KEYS / 50 && moved < KEYS / 8, "moved " + moved);
    }

    @Test
    public void aModelsJobsHaveHomesAmongItsWorkers() {
        KeyAffinity<Endpoint> homes = homes(fleet(20));
        for (int i = 0; i < KEYS; i++) {
            assertTrue(
                    homes.forKey(key(i)).preferred(new Ids.Model("odd")).stream()
                            .allMatch(w -> w.model().name().equals("odd")));
        }
        assertEquals(homes.forKey(key(0)).preferred(new Ids.Model("none")), List.of());
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
    public void aLargerWorkerIsHomeToMore(double size, int least, int most) {
        List<Endpoint> fleet = fleet(9);
        Endpoint odd = worker(5, "odd", Double.isNaN(size) ? 0 : size);
        fleet.add(odd);
        KeyAffinity<Endpoint> homes = homes(fleet);
        int home = 0;
        Set<Endpoint> all = new HashSet<>();
        for (int i = 0; i < KEYS; i++) {
            Endpoint first = homes.forKey(key(i)).preferred(null).get(0);
            all.add(first);
            home += first == odd ? 1 : 0;
        }
        assertTrue(home >= least && home <= most, "home to " + home);
        assertTrue(all.size() >= 9);
    }

    /** It is remembered until other keys must have taken its room there. */
    @Test
    public void whereItWentIsForgottenAfterOtherLaunches() {
        KeyAffinity<Endpoint> homes = homes(fleet(3));
        KeyAffinity<Endpoint>.Placement key = homes.forKey(key(1));
        Endpoint there = fleet(3).get(1);
        key.recordAttempt(there, 10);
        for (int launched = 10; launched < 20; launched++) {
            Set<Endpoint> lately = new HashSet<>();
            int now = launched;
            key.forEachRecent(w -> now, lately::add);
            assertEquals(lately.contains(there), launched < 18, "after " + (launched - 10));
        }
    }

    /** One is a key more than is remembered; none of them may take memory for ever. */
    @Test
    public void keysThatComeOnceAreForgotten() {
        KeyAffinity<Endpoint> homes = homes(fleet(3));
        KeyAffinity<Endpoint>.Placement first = homes.forKey(key(0));
        assertTrue(homes.forKey(key(0)) == first);
        for (int i = 1; i < 3000; i++) {
            homes.forKey(key(i));
        }
        assertTrue(homes.forKey(key(0)) != first);
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
    public void aFetchIsLearnedFromRuns(double longer, double least, double most) {
        CacheMissCost fetches = new CacheMissCost();
        Random random = new Random(5);
        fetches.update(1);
        for (int i = 0; i < 60; i++) {
            double work = i % 2 == 0 ? 0.05 : 8;
            fetches.record(
                    i,
                    KeyAffinity.PREFERRED_COUNT,
                    work,
                    longer + work * (random.nextDouble() - 0.5));
        }
        fetches.update(1);
        double time = fetches.expectedSeconds(KeyAffinity.PREFERRED_COUNT);
        assertTrue(time >= least && time <= most, "learned " + time);
        assertEquals(fetches.expectedSeconds(KeyAffinity.CACHED), 0.0);
        assertEquals(fetches.missProbability(KeyAffinity.PREFERRED_COUNT), time > 0 ? 1.0 : 0.0);
    }
}
