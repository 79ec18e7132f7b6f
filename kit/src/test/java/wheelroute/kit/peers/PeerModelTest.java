package wheelroute.kit.peers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.peers.MemberUpdate;
import wheelroute.peers.MessageCodec;

/** Tests membership under faults in simulated time, with encoded and decoded datagrams. */
public class PeerModelTest {
    private static final int SEEDS = 3;
    private static final double TIMEOUT_SECONDS = 120;

    private static PeerModel convergedCluster(int count, long seed, boolean localHealthAware) {
        PeerModel model = new PeerModel(count, SEEDS, seed, localHealthAware);
        model.startAll(0.5);
        model.advance(0.5);
        assertFalse(
                Double.isNaN(model.advanceUntil(model::hasConverged, TIMEOUT_SECONDS)),
                "cluster did not converge within " + TIMEOUT_SECONDS + " s");
        // Waits until the gossip of the start has ended.
        model.advance(10 + count / 5.0);
        return model;
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {
            // Number of members, maximum seconds until all know of a crash, maximum seconds until
            // all agree after a partition, maximum bytes per second and member.
            {3, 6, 5, 400}, {10, 8, 6, 400}, {40, 14, 12, 500}, {100, 18, 20, 700},
        };
    }

    /**
     * Detection times must grow no faster than the logarithm of the cluster's size, and the traffic
     * of a member hardly at all.
     */
    @Test(dataProvider = "sizes")
    public void crashesAndHealedPartitionsAreDetectedInTime(
            int count, double maxDetectionSeconds, double maxHealingSeconds, double maxBytes) {
        PeerModel model = convergedCluster(count, count, true);
        model.resetCounters();
        model.advance(10);
        assertEquals(model.falsePositives(), 0);
        double bytes = model.bytes() / 10.0 / count;
        assertTrue(bytes < maxBytes, bytes + " bytes per second and member");
        assertTrue(model.largestDatagram() <= MessageCodec.MAX_DATAGRAM_BYTES);
        model.members.get(count - 1).crash();
        double detection =
                model.advanceUntil(() -> model.isDeadEverywhere(count - 1), TIMEOUT_SECONDS);
        assertTrue(
                detection < maxDetectionSeconds,
                detection + " s until all members knew of the crash");
        model.members.get(count - 1).start(0);
        assertFalse(Double.isNaN(model.advanceUntil(model::hasConverged, TIMEOUT_SECONDS)));
        int half = count / 2;
        model.block((from, to) -> from < half != to < half);
        model.advance(30);
        assertEquals(model.members.get(0).membership().aliveCount(), half);
        assertEquals(model.members.get(half).membership().aliveCount(), count - half);
        model.block((from, to) -> false);
        double healing = model.advanceUntil(model::hasConverged, TIMEOUT_SECONDS);
        assertTrue(
                healing < maxHealingSeconds,
                healing + " s until all members agreed after the partition");
    }

    /** Loss, duplicates and reordering must cause at most one false positive in the whole run. */
    @Test
    public void lossyNetworkCausesNoFalsePositives() {
        PeerModel model = convergedCluster(20, 5, true);
        model.setNetwork(0.25, 0.2, 0.05);
        model.resetCounters();
        model.advance(120);
        assertTrue(
                model.falsePositives() <= 1,
                model.falsePositives() + " false positives in 40 minutes of members' time");
        model.setNetwork(0, 0, 0);
        assertFalse(Double.isNaN(model.advanceUntil(model::hasConverged, TIMEOUT_SECONDS)));
    }

    /** A fault of a converged cluster of 12 members. The test unblocks links afterwards. */
    private interface Fault {
        void inject(PeerModel model);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"crash of all seeds", (Fault) PeerModelTest::seedsCrash},
            {"outbound loss", (Fault) PeerModelTest::messagesOfMemberAreLost},
            {"partition of a pair", (Fault) PeerModelTest::pairIsPartitioned},
            {"partition into thirds", (Fault) PeerModelTest::thirdsArePartitioned},
            {"flapping member", (Fault) PeerModelTest::memberFlaps},
            {"restart with clock behind", (Fault) PeerModelTest::memberRestartsWithClockBehind},
            {"pause", (Fault) PeerModelTest::membersPause},
            {"leave", (Fault) PeerModelTest::memberLeaves},
        };
    }

    private static void seedsCrash(PeerModel model) {
        for (int i = 0; i < SEEDS; i++) {
            model.members.get(i).crash();
        }
        model.advance(20);
        model.members.get(7).crash();
        model.advance(2);
        for (int i = 0; i < SEEDS; i++) {
            model.members.get(i).start(0);
        }
        model.members.get(7).start(0);
    }

    private static void messagesOfMemberAreLost(PeerModel model) {
        model.block((from, to) -> from == 4);
        model.advance(20);
        assertFalse(
                model.members.get(0).membership().find(PeerModel.id(4)).state()
                        == MemberUpdate.State.ALIVE,
                "a member whose messages are lost is considered alive");
    }

    private static void pairIsPartitioned(PeerModel model) {
        model.block((from, to) -> (from == 4 && to == 5) || (from == 5 && to == 4));
        model.resetCounters();
        model.advance(30);
        assertEquals(
                model.falsePositives(),
                0,
                "false positives although indirect probes reach both members");
    }

    private static void thirdsArePartitioned(PeerModel model) {
        model.block((from, to) -> from % 3 != to % 3);
        model.advance(30);
        assertEquals(model.members.get(0).membership().aliveCount(), 4);
    }

    private static void memberFlaps(PeerModel model) {
        for (int i = 0; i < 6; i++) {
            model.members.get(4).crash();
            model.advance(1.5);
            model.members.get(4).start(0);
            model.advance(1.5);
        }
    }

    /** The clock behind makes the earlier incarnation of the member seem the newer one. */
    private static void memberRestartsWithClockBehind(PeerModel model) {
        model.members.get(4).crash();
        model.members.get(4).start(-500);
    }

    private static void membersPause(PeerModel model) {
        model.members.get(4).setPaused(true);
        model.members.get(5).setPaused(true);
        model.advance(15);
        model.resetCounters();
        model.members.get(4).setPaused(false);
        model.members.get(5).setPaused(false);
        model.advance(5);
        assertEquals(model.falsePositives(), 0, "false positives after the pause of members");
    }

    private static void memberLeaves(PeerModel model) {
        model.members.get(4).leave();
        double detection = model.advanceUntil(() -> model.isDeadEverywhere(4), TIMEOUT_SECONDS);
        assertTrue(detection < 3, detection + " s until all members knew of the announced leave");
        model.members.get(4).start(1);
    }

    /** The cluster must converge again after each fault. */
    @Test(dataProvider = "faults")
    public void clusterConvergesAfterFault(String name, Fault fault) {
        PeerModel model = convergedCluster(12, 11, true);
        fault.inject(model);
        model.block((from, to) -> false);
        assertFalse(
                Double.isNaN(model.advanceUntil(model::hasConverged, TIMEOUT_SECONDS)),
                "cluster did not converge after fault: " + name);
    }

    /**
     * With a tenth of the members stalling, the local health multiplier must at least halve the
     * number of false positives.
     */
    @Test
    public void localHealthAwarenessAvoidsFalsePositives() {
        long[] falsePositives = new long[2];
        for (int seed = 0; seed < 4; seed++) {
            for (boolean localHealthAware : new boolean[] {true, false}) {
                PeerModel model = convergedCluster(40, seed, localHealthAware);
                model.members.stream()
                        .filter(member -> member.number % 10 == 3)
                        .forEach(member -> member.stall(2));
                model.resetCounters();
                model.advance(90);
                falsePositives[localHealthAware ? 0 : 1] += model.falsePositives();
            }
        }
        assertTrue(
                falsePositives[0] * 2 <= falsePositives[1],
                falsePositives[0]
                        + " false positives with the local health multiplier, "
                        + falsePositives[1]
                        + " without it");
    }
}
