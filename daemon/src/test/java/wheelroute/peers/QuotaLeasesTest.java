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

/**
 * Quota leases of several dispatchers, with a network and a view of liveness that the test sets.
 */
public class QuotaLeasesTest {
    private static final double STEP = 0.05;
    private static final double TOLERANCE = 1e-9;

    /** All dispatchers, on one clock; a datagram is delivered after one time step or more. */
    private static final class Cluster {
        final int count;
        final QuotaLeases[] leases;
        final LeaseVoter[] voters;
        final long[] incarnations;
        final boolean[] up;
        final Set<Integer> paused = new HashSet<>();
        final List<Runnable> inTransit = new ArrayList<>();
        final SplittableRandom random = new SplittableRandom(7);
        double loss;

        /** Dispatchers from this number on and those below do not reach each other; -1 for none. */
        int partitionAt = -1;

        /** Each dispatcher's view of who is alive is random. */
        boolean livenessIsWrong;

        double now = 100;
        double largestUse;

        Cluster(int count) {
            this.count = count;
            leases = new QuotaLeases[count];
            voters = new LeaseVoter[count];
            incarnations = new long[count];
            up = new boolean[count];
            for (int i = 0; i < count; i++) {
                start(i);
            }
        }

        void start(int i) {
            up[i] = true;
            long incarnation = ++incarnations[i];
            voters[i] = new LeaseVoter(now);
            leases[i] =
                    new QuotaLeases(
                            i,
                            count,
                            incarnation,
                            other ->
                                    livenessIsWrong
                                            ? random.nextBoolean()
                                            : up[other] && !isPartitioned(i, other),
                            transportOf(i));
        }

        boolean isPartitioned(int one, int other) {
            return partitionAt >= 0 && one < partitionAt != other < partitionAt;
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
                                    voters[to].release(
                                            terms.share(), id(from), terms.incarnation(), number));
                }
            };
        }

        private void request(int from, int to, int number, LeaseTerms terms) {
            if (voters[to].requestVote(now, terms.share(), id(from), terms.incarnation(), number)) {
                send(to, from, () -> leases[from].onGrant(now, number, terms, id(to)));
            }
        }

        /** Puts a message on its way, to be handled unless the receiver is down or paused. */
        private void send(int from, int to, Runnable receive) {
            if (isPartitioned(from, to) || random.nextDouble() < loss) {
                return;
            }
            inTransit.add(
                    () -> {
                        if (up[to] && !paused.contains(to)) {
                            receive.run();
                        }
                    });
        }

        private static PeerId id(int number) {
            return new PeerId("n" + number);
        }

        void advance(double seconds) {
            for (double end = now + seconds; now < end; ) {
                now += STEP;
                List<Runnable> due = new ArrayList<>(inTransit);
                inTransit.clear();
                // Some are delivered a step later, and so out of order.
                due.forEach(
                        delivery -> {
                            if (random.nextInt(4) == 0) {
                                inTransit.add(delivery);
                            } else {
                                delivery.run();
                            }
                        });
                for (int i = 0; i < count; i++) {
                    if (up[i] && !paused.contains(i)) {
                        leases[i].renew(now);
                    }
                }
                largestUse = Math.max(largestUse, inUse());
                assertTrue(largestUse <= 1 + TOLERANCE, largestUse + " of the quota are in use");
            }
        }

        double inUse() {
            double sum = 0;
            for (int i = 0; i < count; i++) {
                sum += up[i] && !paused.contains(i) ? leases[i].usableTotal(now) : 0;
            }
            return sum;
        }
    }

    /** Long enough for every grant to expire and every share to be requested again. */
    private static final double SETTLED = 3 * Lease.GRANT_DURATION_SECONDS;

    @DataProvider
    public Object[][] counts() {
        return new Object[][] {{1}, {2}, {3}, {5}, {14}, {100}};
    }

    @Test(dataProvider = "counts")
    public void togetherTheyUseTheWholeQuota(int count) {
        Cluster cluster = new Cluster(count);
        cluster.advance(SETTLED);
        assertEquals(cluster.inUse(), 1, TOLERANCE);
        assertEquals(cluster.leases[0].usableTotal(cluster.now), 1.0 / count, TOLERANCE);
    }

    /**
     * A dead dispatcher's guaranteed part is unused, the rest of its share goes to the next one.
     */
    @Test
    public void nextDispatcherTakesOverLeasedPart() {
        Cluster cluster = new Cluster(10);
        cluster.advance(SETTLED);
        cluster.up[4] = false;
        cluster.advance(SETTLED);
        assertEquals(cluster.inUse(), 1 - QuotaLeases.GUARANTEED_PART / 10, TOLERANCE);
        assertEquals(cluster.leases[5].heldShares(cluster.now), List.of(4, 5));
        assertEquals(
                cluster.leases[5].usablePart(4, cluster.now),
                1 - QuotaLeases.GUARANTEED_PART,
                TOLERANCE);
        cluster.start(4);
        cluster.advance(SETTLED);
        assertEquals(cluster.inUse(), 1, TOLERANCE);
        assertEquals(cluster.leases[5].heldShares(cluster.now), List.of(5));
    }

    /** A dispatcher cut off from all others falls back to its guaranteed part, and no further. */
    @Test
    public void partitionedDispatcherKeepsGuaranteedPart() {
        Cluster cluster = new Cluster(10);
        cluster.advance(SETTLED);
        cluster.partitionAt = 1;
        cluster.advance(Lease.DURATION_SECONDS + STEP);
        assertEquals(
                cluster.leases[0].usableTotal(cluster.now),
                QuotaLeases.GUARANTEED_PART / 10,
                TOLERANCE);
        cluster.advance(SETTLED);
        assertEquals(cluster.inUse(), 1, TOLERANCE);
        cluster.partitionAt = 5;
        cluster.advance(SETTLED);
        // Of five that follow a share's owner three are always on one side.
        assertEquals(cluster.inUse(), 1, TOLERANCE);
    }

    /** A process that was paused sees by the clock that its lease has expired. */
    @Test
    public void leaseIsExpiredAfterPause() {
        Cluster cluster = new Cluster(5);
        cluster.advance(SETTLED);
        assertEquals(cluster.leases[2].usablePart(2, cluster.now), 1, TOLERANCE);
        cluster.paused.add(2);
        cluster.advance(Lease.DURATION_SECONDS + STEP);
        cluster.paused.remove(2);
        assertEquals(
                cluster.leases[2].usablePart(2, cluster.now),
                QuotaLeases.GUARANTEED_PART,
                TOLERANCE);
    }

    @Test
    public void leavingReleasesAtOnce() {
        Cluster cluster = new Cluster(10);
        cluster.advance(SETTLED);
        cluster.leases[4].releaseAll();
        cluster.up[4] = false;
        cluster.advance(Lease.DURATION_SECONDS / 2);
        assertTrue(
                cluster.leases[5].heldShares(cluster.now).contains(4),
                "the successor waits for a grant that was released");
    }

    /** Random crashes, restarts, pauses and partitions, with loss and wrong views of liveness. */
    @Test
    public void usageNeverExceedsTheQuota() {
        Cluster cluster = new Cluster(9);
        cluster.livenessIsWrong = true;
        cluster.loss = 0.3;
        for (int i = 0; i < 300; i++) {
            int target = cluster.random.nextInt(9);
            switch (cluster.random.nextInt(4)) {
                case 0 -> cluster.up[target] = false;
                case 1 -> cluster.start(target);
                case 2 -> cluster.partitionAt = cluster.random.nextInt(10) - 1;
                default -> {
                    if (!cluster.paused.remove(target)) {
                        cluster.paused.add(target);
                    }
                }
            }
            cluster.advance(cluster.random.nextDouble() * 3);
        }
        assertTrue(cluster.largestUse > 0.6, "hardly anything was used: " + cluster.largestUse);
    }
}
