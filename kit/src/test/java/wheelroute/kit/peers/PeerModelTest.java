package wheelroute.kit.peers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.peers.MessageCodec;

/**
 * Who is there, on the virtual clock: every datagram through the codec, and whatever can befall it.
 */
public class PeerModelTest {
    private static final int SEEDS = 3;
    private static final double PATIENCE = 120;

    private static PeerModel joined(int count, long seed, boolean doubts) {
        PeerModel model = new PeerModel(count, SEEDS, seed, doubts);
        model.beginAll(0.5);
        model.pass(0.5);
        assertFalse(Double.isNaN(model.passUntil(model::isAgreed, PATIENCE)), "they never all met");
        // For the news of the start to be through.
        model.pass(10 + count / 5.0);
        return model;
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {
            // members, seconds for all to hold a dead one dead, to agree again after halves, bytes
            // a second
            {3, 6, 5, 400}, {10, 8, 6, 400}, {40, 14, 12, 500}, {100, 18, 20, 700},
        };
    }

    /**
     * Times grow no faster than the logarithm of the size, and what it costs a member hardly at
     * all.
     */
    @Test(dataProvider = "sizes")
    public void deathsAndCutsAreKnownInTime(int count, double dead, double healed, double bytes) {
        PeerModel model = joined(count, count, true);
        model.countFromHere();
        model.pass(10);
        assertEquals(model.wrongVerdicts(), 0);
        assertTrue(model.bytes() / 10.0 / count < bytes, model.bytes() / 10.0 / count + " bytes");
        assertTrue(model.largestDatagram() <= MessageCodec.MAX_DATAGRAM_BYTES);
        model.members.get(count - 1).crash();
        double known = model.passUntil(() -> model.isGivenUp(count - 1), PATIENCE);
        assertTrue(known < dead, known + " s until all knew it");
        model.members.get(count - 1).begin(0);
        assertFalse(Double.isNaN(model.passUntil(model::isAgreed, PATIENCE)));
        int half = count / 2;
        model.cut((from, to) -> from < half != to < half);
        model.pass(30);
        assertEquals(model.members.get(0).membership().aliveCount(), half);
        assertEquals(model.members.get(half).membership().aliveCount(), count - half);
        model.cut((from, to) -> false);
        double agreed = model.passUntil(model::isAgreed, PATIENCE);
        assertTrue(agreed < healed, agreed + " s until all agreed again");
    }

    /** Loss, doubles, one overtaking another: nobody that runs is given up. */
    @Test
    public void aBadNetworkBringsNoVerdicts() {
        PeerModel model = joined(20, 5, true);
        model.network(0.25, 0.2, 0.05);
        model.countFromHere();
        model.pass(120);
        assertTrue(
                model.wrongVerdicts() <= 1,
                model.wrongVerdicts() + " wrong verdicts in 40 minutes");
        model.network(0, 0, 0);
        assertFalse(Double.isNaN(model.passUntil(model::isAgreed, PATIENCE)));
    }

    @DataProvider
    public Object[][] hard() {
        return new Object[][] {
            {"seeds"},
            {"one way"},
            {"all but one"},
            {"thirds"},
            {"flapping"},
            {"clock"},
            {"stop"},
            {"leave"}
        };
    }

    /** Each ends with all in agreement, some time after it is over. */
    @Test(dataProvider = "hard")
    public void hardCasesEndInAgreement(String which) {
        PeerModel model = joined(12, 11, true);
        switch (which) {
            case "seeds" -> {
                for (int i = 0; i < SEEDS; i++) {
                    model.members.get(i).crash();
                }
                model.pass(20);
                model.members.get(7).crash();
                model.pass(2);
                for (int i = 0; i < SEEDS; i++) {
                    model.members.get(i).begin(0);
                }
                model.members.get(7).begin(0);
            }
            case "one way" -> {
                model.cut((from, to) -> from == 4);
                model.pass(20);
                assertFalse(
                        model.members.get(0).membership().find(PeerModel.id(4)).state()
                                == wheelroute.peers.MemberUpdate.State.ALIVE,
                        "whom nobody hears is not there");
            }
            case "all but one" -> {
                model.cut((from, to) -> (from == 4 && to == 5) || (from == 5 && to == 4));
                model.countFromHere();
                model.pass(30);
                assertEquals(model.wrongVerdicts(), 0, "others could tell them of each other");
            }
            case "thirds" -> {
                model.cut((from, to) -> from % 3 != to % 3);
                model.pass(30);
                assertEquals(model.members.get(0).membership().aliveCount(), 4);
            }
            case "flapping" -> {
                for (int i = 0; i < 6; i++) {
                    model.members.get(4).crash();
                    model.pass(1.5);
                    model.members.get(4).begin(0);
                    model.pass(1.5);
                }
            }
            case "clock" -> {
                // Started again with a clock that went back: its old life would seem the newer one.
                model.members.get(4).crash();
                model.members.get(4).begin(-500);
            }
            case "stop" -> {
                model.members.get(4).pause(true);
                model.members.get(5).pause(true);
                model.pass(15);
                model.countFromHere();
                model.members.get(4).pause(false);
                model.members.get(5).pause(false);
                model.pass(5);
                assertEquals(model.wrongVerdicts(), 0, "who stood still holds it against others");
            }
            default -> {
                model.members.get(4).leave();
                double known = model.passUntil(() -> model.isGivenUp(4), PATIENCE);
                assertTrue(known < 3, known + " s, though it said that it goes");
                model.members.get(4).begin(1);
            }
        }
        model.cut((from, to) -> false);
        assertFalse(Double.isNaN(model.passUntil(model::isAgreed, PATIENCE)), "they do not agree");
    }

    /** A slow tenth: who doubts itself gives up fewer of the others than who does not. */
    @Test
    public void doubtInOneselfSparesOthers() {
        long[] wrong = new long[2];
        for (int seed = 0; seed < 4; seed++) {
            for (boolean doubts : new boolean[] {true, false}) {
                PeerModel model = joined(40, seed, doubts);
                model.members.stream().filter(m -> m.number % 10 == 3).forEach(m -> m.slow(2));
                model.countFromHere();
                model.pass(90);
                wrong[doubts ? 0 : 1] += model.wrongVerdicts();
            }
        }
        assertTrue(
                wrong[0] * 2 <= wrong[1], wrong[0] + " wrong with doubt, " + wrong[1] + " without");
    }
}
