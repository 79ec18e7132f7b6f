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
public class HomesTest {
    private static final int KEYS = 400;

    private static Listing worker(long id, String model, double size) {
        return new Listing(
                new Ids.Worker(id),
                new Ids.Model(model),
                size,
                new Ids.Zone("z"),
                Double.NaN,
                new Ids.Cell(0),
                Listing.Readiness.ACTIVE);
    }

    private static List<Listing> fleet(int count) {
        List<Listing> fleet = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            fleet.add(worker(1000 + 7L * i, i % 2 == 0 ? "even" : "odd", 1));
        }
        return fleet;
    }

    private static Homes<Listing> homes(List<Listing> fleet) {
        Homes<Listing> homes = new Homes<>(w -> w);
        homes.fleet(fleet);
        return homes;
    }

    private static Ids.Key key(int i) {
        return new Ids.Key(String.format("%016x", 77L * i));
    }

    /** Nobody tells anybody: the order in which workers came to be known must not matter. */
    @Test
    public void allDispatchersReckonTheSameHomes() {
        List<Listing> fleet = fleet(20);
        List<Listing> shuffled = new ArrayList<>(fleet);
        Collections.shuffle(shuffled, new Random(3));
        Homes<Listing> a = homes(fleet);
        Homes<Listing> b = homes(shuffled);
        for (int i = 0; i < KEYS; i++) {
            assertEquals(a.of(key(i)).ranked(null), b.of(key(i)).ranked(null));
            assertEquals(Set.copyOf(a.of(key(i)).ranked(null)).size(), Homes.RANKED);
        }
    }

    /** A worker that leaves moves only the keys that it was home to. */
    @Test
    public void aLossMovesOnlyItsOwnKeys() {
        List<Listing> fleet = fleet(20);
        Homes<Listing> homes = homes(fleet);
        List<Listing> before = new ArrayList<>();
        for (int i = 0; i < KEYS; i++) {
            before.add(homes.of(key(i)).ranked(null).get(0));
        }
        Listing lost = fleet.get(4);
        homes.fleet(fleet.stream().filter(w -> w != lost).toList());
        int moved = 0;
        for (int i = 0; i < KEYS; i++) {
            Listing now = homes.of(key(i)).ranked(null).get(0);
            assertTrue(now == before.get(i) || before.get(i) == lost, "key " + i);
            moved += now != before.get(i) ? 1 : 0;
        }
        assertTrue(moved > KEYS / 50 && moved < KEYS / 8, "moved " + moved);
    }

    @Test
    public void aModelsJobsHaveHomesAmongItsWorkers() {
        Homes<Listing> homes = homes(fleet(20));
        for (int i = 0; i < KEYS; i++) {
            assertTrue(
                    homes.of(key(i)).ranked(new Ids.Model("odd")).stream()
                            .allMatch(w -> w.model().name().equals("odd")));
        }
        assertEquals(homes.of(key(0)).ranked(new Ids.Model("none")), List.of());
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
        List<Listing> fleet = fleet(9);
        Listing odd = worker(5, "odd", Double.isNaN(size) ? 0 : size);
        fleet.add(odd);
        Homes<Listing> homes = homes(fleet);
        int home = 0;
        Set<Listing> all = new HashSet<>();
        for (int i = 0; i < KEYS; i++) {
            Listing first = homes.of(key(i)).ranked(null).get(0);
            all.add(first);
            home += first == odd ? 1 : 0;
        }
        assertTrue(home >= least && home <= most, "home to " + home);
        assertTrue(all.size() >= 9);
    }

    /** It is remembered until other keys must have taken its room there. */
    @Test
    public void whereItWentIsForgottenAfterOtherLaunches() {
        Homes<Listing> homes = homes(fleet(3));
        Homes<Listing>.OfKey key = homes.of(key(1));
        Listing there = fleet(3).get(1);
        key.sentTo(there, 10);
        for (int launched = 10; launched < 20; launched++) {
            Set<Listing> lately = new HashSet<>();
            int now = launched;
            key.sent(w -> now, lately::add);
            assertEquals(lately.contains(there), launched < 18, "after " + (launched - 10));
        }
    }

    /** One is a key more than is remembered; none of them may take memory for ever. */
    @Test
    public void keysThatComeOnceAreForgotten() {
        Homes<Listing> homes = homes(fleet(3));
        Homes<Listing>.OfKey first = homes.of(key(0));
        assertTrue(homes.of(key(0)) == first);
        for (int i = 1; i < 3000; i++) {
            homes.of(key(i));
        }
        assertTrue(homes.of(key(0)) != first);
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
        Fetches fetches = new Fetches();
        Random random = new Random(5);
        fetches.figure(1);
        for (int i = 0; i < 60; i++) {
            double work = i % 2 == 0 ? 0.05 : 8;
            fetches.learn(i, Homes.RANKED, work, longer + work * (random.nextDouble() - 0.5));
        }
        fetches.figure(1);
        double time = fetches.time(Homes.RANKED);
        assertTrue(time >= least && time <= most, "learned " + time);
        assertEquals(fetches.time(Homes.KEPT_HERE), 0.0);
        assertEquals(fetches.part(Homes.RANKED), time > 0 ? 1.0 : 0.0);
    }
}
