package wheelroute.peers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Shares among several dispatchers, whose datagrams and beliefs the case makes. */
public class QuotaLeasesTest {
    private static final double STEP = 0.05;
    private static final double EXACT = 1e-9;

    /** All of them, in one time; a datagram takes a step, or as the case says. */
    private static final class All {
        final int count;
        final QuotaLeases[] shares;
        final LeaseVoter[] votes;
        final long[] lives;
        final boolean[] up;
        final Set<Integer> still = new HashSet<>();
        final List<Runnable> under = new ArrayList<>();
        final SplittableRandom random = new SplittableRandom(7);
        double loss;

        /** From here on one side does not hear the other. */
        int cutAt = -1;

        boolean lies;
        double now = 100;
        double most;

        All(int count) {
            this.count = count;
            shares = new QuotaLeases[count];
            votes = new LeaseVoter[count];
            lives = new long[count];
            up = new boolean[count];
            for (int i = 0; i < count; i++) {
                start(i);
            }
        }

        void start(int i) {
            up[i] = true;
            long life = ++lives[i];
            votes[i] = new LeaseVoter(now);
            shares[i] =
                    new QuotaLeases(
                            i,
                            count,
                            life,
                            other -> lies ? random.nextBoolean() : up[other] && !isCut(i, other),
                            transportOf(i));
        }

        boolean isCut(int one, int other) {
            return cutAt >= 0 && one < cutAt != other < cutAt;
        }

        private QuotaLeases.Transport transportOf(int from) {
            return new QuotaLeases.Transport() {
                @Override
                public void sendRequest(int to, int number, LeaseTerms terms) {
                    send(from, to, () -> request(from, to, number, terms));
                }

                @Override
                public void sendRelease(int to, int number, LeaseTerms terms) {
                    send(
                            from,
                            to,
                            () ->
                                    votes[to].back(
                                            terms.share(), id(from), terms.incarnation(), number));
                }
            };
        }

        private void request(int from, int to, int number, LeaseTerms terms) {
            if (votes[to].ask(now, terms.share(), id(from), terms.incarnation(), number)) {
                send(to, from, () -> shares[from].granted(now, number, terms, id(to)));
            }
        }

        /** Puts a message on its way, to be handled unless the receiver is down or paused. */
        private void send(int from, int to, Runnable receive) {
            if (isCut(from, to) || random.nextDouble() < loss) {
                return;
            }
            under.add(
                    () -> {
                        if (up[to] && !still.contains(to)) {
                            receive.run();
                        }
                    });
        }

        private static PeerId id(int number) {
            return new PeerId("n" + number);
        }

        void pass(double seconds) {
            for (double end = now + seconds; now < end; ) {
                now += STEP;
                List<Runnable> due = new ArrayList<>(under);
                under.clear();
                // Some come a step later, and so out of their order.
                due.forEach(
                        one -> {
                            if (random.nextInt(4) == 0) {
                                under.add(one);
                            } else {
                                one.run();
                            }
                        });
                for (int i = 0; i < count; i++) {
                    if (up[i] && !still.contains(i)) {
                        shares[i].woken(now);
                    }
                }
                most = Math.max(most, inUse());
                assertTrue(most <= 1 + EXACT, most + " of the whole are in use");
            }
        }

        double inUse() {
            double sum = 0;
            for (int i = 0; i < count; i++) {
                sum += up[i] && !still.contains(i) ? shares[i].whole(now) : 0;
            }
            return sum;
        }
    }

    /** Long enough for every promise to run out and every share to be asked for again. */
    private static final double SETTLED = 3 * Lease.PROMISED;

    @DataProvider
    public Object[][] counts() {
        return new Object[][] {{1}, {2}, {3}, {5}, {14}, {100}};
    }

    @Test(dataProvider = "counts")
    public void allTogetherUseTheWhole(int count) {
        All all = new All(count);
        all.pass(SETTLED);
        assertEquals(all.inUse(), 1, EXACT);
        assertEquals(all.shares[0].whole(all.now), 1.0 / count, EXACT);
    }

    /** One that is gone: its floor rests, the rest of its part is used by the next one. */
    @Test
    public void theNextOneTakesOver() {
        All all = new All(10);
        all.pass(SETTLED);
        all.up[4] = false;
        all.pass(SETTLED);
        assertEquals(all.inUse(), 1 - QuotaLeases.FLOOR / 10, EXACT);
        assertEquals(all.shares[5].held(all.now), List.of(4, 5));
        assertEquals(all.shares[5].of(4, all.now), 1 - QuotaLeases.FLOOR, EXACT);
        all.start(4);
        all.pass(SETTLED);
        assertEquals(all.inUse(), 1, EXACT);
        assertEquals(all.shares[5].held(all.now), List.of(5));
    }

    /**
     * Cut off from all it has its floor, at once after the lease, and goes on; nobody is left with
     * nothing.
     */
    @Test
    public void whoIsCutOffKeepsItsFloor() {
        All all = new All(10);
        all.pass(SETTLED);
        all.cutAt = 1;
        all.pass(Lease.USED + STEP);
        assertEquals(all.shares[0].whole(all.now), QuotaLeases.FLOOR / 10, EXACT);
        all.pass(SETTLED);
        assertEquals(all.inUse(), 1, EXACT);
        all.cutAt = 5;
        all.pass(SETTLED);
        // Of five that follow a share's owner three are always on one side.
        assertEquals(all.inUse(), 1, EXACT);
    }

    /** One that stood still finds out as it looks, before it has heard a word. */
    @Test
    public void whoWakesLooksFirst() {
        All all = new All(5);
        all.pass(SETTLED);
        assertEquals(all.shares[2].of(2, all.now), 1, EXACT);
        all.still.add(2);
        all.pass(Lease.USED + STEP);
        all.still.remove(2);
        assertEquals(all.shares[2].of(2, all.now), QuotaLeases.FLOOR, EXACT);
    }

    @Test
    public void whoLeavesGivesBackAtOnce() {
        All all = new All(10);
        all.pass(SETTLED);
        all.shares[4].leave();
        all.up[4] = false;
        all.pass(Lease.USED / 2);
        assertTrue(
                all.shares[5].held(all.now).contains(4),
                "it waits for a promise that was given back");
    }

    /**
     * Whatever is believed and lost: kills, starts, stops, cuts, by chance, over many seeds' worth
     * of time.
     */
    @Test
    public void neverMoreThanTheWhole() {
        All all = new All(9);
        all.lies = true;
        all.loss = 0.3;
        for (int i = 0; i < 300; i++) {
            int who = all.random.nextInt(9);
            switch (all.random.nextInt(4)) {
                case 0 -> all.up[who] = false;
                case 1 -> all.start(who);
                case 2 -> all.cutAt = all.random.nextInt(10) - 1;
                default -> {
                    if (!all.still.remove(who)) {
                        all.still.add(who);
                    }
                }
            }
            all.pass(all.random.nextDouble() * 3);
        }
        assertTrue(all.most > 0.6, "hardly anything was used: " + all.most);
    }
}
