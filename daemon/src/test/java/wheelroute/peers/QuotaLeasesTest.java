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
 * Tests quota leases of several dispatchers on a simulated network with a simulated failure
 * detector.
 */
public class QuotaLeasesTest {
    private static final double TIME_STEP_SECONDS = 0.05;
    private static final double TOLERANCE = 1e-9;

    /** Long enough for every grant to expire and every share to be requested again. */
    private static final double SETTLE_SECONDS = 3 * Lease.GRANT_DURATION_SECONDS;

    /** Dispatchers that share one clock. Datagrams are delivered after one or more time steps. */
    private static final class Cluster {
        final int count;
        final QuotaLeases[] leases;
        final LeaseVoter[] voters;
        final long[] incarnations;
        final boolean[] up;
        final Set<Integer> paused = new HashSet<>();
        final List<Runnable> inTransit = new ArrayList<>();
        final SplittableRandom random = new SplittableRandom(7);
        double lossProbability;

        /** Partition between dispatchers below this number and all others; -1 for no partition. */
        int partitionAt = -1;

        /** True if the failure detector of each dispatcher gives random results. */
        boolean isLivenessRandom;

        double now = 100;
        double maxFractionInUse;

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
                                    isLivenessRandom
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
                    send(from, to, () -> voters[to].release(terms, id(from), number));
                }
            };
        }

        private void request(int from, int to, int number, LeaseTerms terms) {
            if (voters[to].requestVote(now, terms, id(from), number)) {
                send(to, from, () -> leases[from].onGrant(now, number, terms, id(to)));
            }
        }

        /** Sends a message, which is dropped if the receiver is down or paused at delivery. */
        private void send(int from, int to, Runnable receive) {
            if (isPartitioned(from, to) || random.nextDouble() < lossProbability) {
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
                now += TIME_STEP_SECONDS;
                List<Runnable> due = new ArrayList<>(inTransit);
                inTransit.clear();
                // Some datagrams are delivered a step later, so that the order changes.
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
                maxFractionInUse = Math.max(maxFractionInUse, fractionInUse());
                assertTrue(
                        maxFractionInUse <= 1 + TOLERANCE,
                        "fraction of the quota in use is "
                                + maxFractionInUse
                                + ", expected at most 1");
            }
        }

        double fractionInUse() {
            double sum = 0;
            for (int i = 0; i < count; i++) {
                sum += up[i] && !paused.contains(i) ? leases[i].usableTotalFraction(now) : 0;
            }
            return sum;
        }
    }

    @DataProvider
    public Object[][] counts() {
        return new Object[][] {{1}, {2}, {3}, {5}, {14}, {100}};
    }

    @Test(dataProvider = "counts")
    public void usesWholeQuotaWithoutFaults(int count) {
        Cluster cluster = new Cluster(count);
        cluster.advance(SETTLE_SECONDS);
        assertEquals(cluster.fractionInUse(), 1, TOLERANCE);
        assertEquals(cluster.leases[0].usableTotalFraction(cluster.now), 1.0 / count, TOLERANCE);
    }

    /** The guaranteed fraction of a dead dispatcher's share remains unused. */
    @Test
    public void nextAliveDispatcherAcquiresLeaseOfDeadDispatcher() {
        Cluster cluster = new Cluster(10);
        cluster.advance(SETTLE_SECONDS);
        cluster.up[4] = false;
        cluster.advance(SETTLE_SECONDS);
        assertEquals(cluster.fractionInUse(), 1 - QuotaLeases.GUARANTEED_FRACTION / 10, TOLERANCE);
        assertEquals(cluster.leases[5].heldShares(cluster.now), List.of(4, 5));
        assertEquals(
                cluster.leases[5].usableFraction(4, cluster.now),
                1 - QuotaLeases.GUARANTEED_FRACTION,
                TOLERANCE);
        cluster.start(4);
        cluster.advance(SETTLE_SECONDS);
        assertEquals(cluster.fractionInUse(), 1, TOLERANCE);
        assertEquals(cluster.leases[5].heldShares(cluster.now), List.of(5));
    }

    @Test
    public void partitionedDispatcherFallsBackToGuaranteedFraction() {
        Cluster cluster = new Cluster(10);
        cluster.advance(SETTLE_SECONDS);
        cluster.partitionAt = 1;
        cluster.advance(Lease.DURATION_SECONDS + TIME_STEP_SECONDS);
        assertEquals(
                cluster.leases[0].usableTotalFraction(cluster.now),
                QuotaLeases.GUARANTEED_FRACTION / 10,
                TOLERANCE);
        cluster.advance(SETTLE_SECONDS);
        assertEquals(cluster.fractionInUse(), 1, TOLERANCE);
        cluster.partitionAt = 5;
        cluster.advance(SETTLE_SECONDS);
        // One side of the partition always has three of the five voters of a share.
        assertEquals(cluster.fractionInUse(), 1, TOLERANCE);
    }

    @Test
    public void leaseExpiresWhileItsHolderIsPaused() {
        Cluster cluster = new Cluster(5);
        cluster.advance(SETTLE_SECONDS);
        assertEquals(cluster.leases[2].usableFraction(2, cluster.now), 1, TOLERANCE);
        cluster.paused.add(2);
        cluster.advance(Lease.DURATION_SECONDS + TIME_STEP_SECONDS);
        cluster.paused.remove(2);
        assertEquals(
                cluster.leases[2].usableFraction(2, cluster.now),
                QuotaLeases.GUARANTEED_FRACTION,
                TOLERANCE);
    }

    @Test
    public void releasedLeaseIsAcquiredBeforeItWouldHaveExpired() {
        Cluster cluster = new Cluster(10);
        cluster.advance(SETTLE_SECONDS);
        cluster.leases[4].releaseAll();
        cluster.up[4] = false;
        cluster.advance(Lease.DURATION_SECONDS / 2);
        assertTrue(
                cluster.leases[5].heldShares(cluster.now).contains(4),
                "the next dispatcher has not acquired the released lease");
    }

    /** The faults are crashes, restarts, pauses, partitions, lost messages and random liveness. */
    @Test
    public void usageNeverExceedsQuotaUnderRandomFaults() {
        Cluster cluster = new Cluster(9);
        cluster.isLivenessRandom = true;
        cluster.lossProbability = 0.3;
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
        assertTrue(
                cluster.maxFractionInUse > 0.6,
                "largest fraction of the quota in use was " + cluster.maxFractionInUse);
    }
}
