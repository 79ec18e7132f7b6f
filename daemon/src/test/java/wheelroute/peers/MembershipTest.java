package wheelroute.peers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * One member's reactions, message by message. Clusters under faults are played in the kit's
 * PeerModelTest.
 */
public class MembershipTest {
    private static final int CLUSTER = 5;
    private static final PeerId SELF = new PeerId("self");
    private static final PeerId OTHER = new PeerId("other");
    private static final PeerId THIRD = new PeerId("another");
    private static final double START = 100;
    private static final double TIMER_STEP = 0.05;

    /** Suspicion timeout of a cluster of two, at full local health. */
    private static final double LEAST_SUSPICION = 4 * Membership.PROBE_INTERVAL_SECONDS;

    private final List<Message> sent = new ArrayList<>();
    private final List<MemberAddress> receivers = new ArrayList<>();
    private final List<String> changes = new ArrayList<>();
    private Membership membership;
    private double now;

    private final class RecordingTransport implements Membership.Transport {
        @Override
        public void send(MemberAddress to, Message message) {
            sent.add(message);
            receivers.add(to);
        }

        @Override
        public void scheduleTimer(double delay) {
            // The tests call the timer at short intervals, which does no harm.
        }

        @Override
        public void memberChanged(
                MemberUpdate update, MemberUpdate.State previous, PeerId reportedBy) {
            changes.add(update.id() + " " + update.state() + " by " + reportedBy);
        }
    }

    private static MemberAddress address(PeerId id) {
        return new MemberAddress(0, id.name().length());
    }

    private static MemberUpdate update(PeerId id, long incarnation, MemberUpdate.State state) {
        return new MemberUpdate(id, address(id), incarnation, state, THIRD.shortHash());
    }

    private static MessageHeader header(PeerId sender, MemberUpdate... updates) {
        MemberUpdate alive = update(sender, 1, MemberUpdate.State.ALIVE);
        return new MessageHeader(CLUSTER, alive, 0, List.of(updates));
    }

    /** A member that knows nobody, and has only itself as a seed. */
    @BeforeMethod
    public void start() {
        now = START;
        membership =
                new Membership(
                        new MembershipConfig(
                                CLUSTER, SELF, address(SELF), 1, List.of(address(SELF)), 1, true),
                        new RecordingTransport());
        membership.advanceTo(now);
        membership.start();
        sent.clear();
        receivers.clear();
        changes.clear();
    }

    private void receive(PeerId sender, Message message) {
        membership.advanceTo(now);
        membership.receive(address(sender), message);
    }

    /** Runs the timer until a change of state has been reported; the seconds until then. */
    private double secondsUntilChange(double timeout) {
        double from = now;
        int before = changes.size();
        while (changes.size() == before && now < from + timeout) {
            now += TIMER_STEP;
            membership.advanceTo(now);
            membership.onTimer();
        }
        return now - from;
    }

    @Test
    public void pingIsAnsweredAndMakesTheSenderKnown() {
        receive(OTHER, new Message.Ping(header(OTHER), 77));
        assertEquals(changes, List.of("other ALIVE by other"));
        assertEquals(membership.aliveCount(), 2);
        Message ack = sent.get(0);
        assertEquals(ack.type(), MessageType.ACK);
        assertEquals(ack.sequenceNumber(), 77);
        assertEquals(receivers.get(0), address(OTHER));
    }

    @Test
    public void messageOfAnotherClusterIsIgnored() {
        MemberUpdate sender = update(OTHER, 1, MemberUpdate.State.ALIVE);
        MessageHeader foreign = new MessageHeader(CLUSTER + 1, sender, 0, List.of());
        receive(OTHER, new Message.Ping(foreign, 1));
        assertEquals(membership.aliveCount(), 1);
        assertTrue(sent.isEmpty());
    }

    /** Suspect at the end of the probe, and dead once the suspicion timeout has passed. */
    @Test
    public void silentMemberBecomesSuspectAndThenDead() {
        receive(OTHER, new Message.Ping(header(OTHER), 1));
        double untilSuspect = secondsUntilChange(5);
        assertEquals(changes.get(1), "other SUSPECT by self");
        // One interval until the next probe and one for the probe, each seen a timer step late.
        double latest = 2 * (Membership.PROBE_INTERVAL_SECONDS + TIMER_STEP);
        assertTrue(untilSuspect <= latest, untilSuspect + " s");
        assertEquals(membership.aliveCount(), 2, "a suspect counts as alive");
        double untilDead = secondsUntilChange(30);
        assertEquals(changes.get(2), "other DEAD by self");
        assertTrue(untilDead >= LEAST_SUSPICION - TIMER_STEP, untilDead + " s");
        assertEquals(membership.aliveCount(), 1);
        assertEquals(membership.find(OTHER).state(), MemberUpdate.State.DEAD);
    }

    /** A refutation has a higher incarnation; the same incarnation does not revive. */
    @Test
    public void suspectRefutesWithAHigherIncarnationOnly() {
        receive(OTHER, new Message.Ping(header(OTHER), 1));
        receive(
                THIRD,
                new Message.Ping(header(THIRD, update(OTHER, 1, MemberUpdate.State.SUSPECT)), 2));
        assertEquals(membership.find(OTHER).state(), MemberUpdate.State.SUSPECT);
        receive(OTHER, new Message.Ping(header(OTHER), 3));
        assertEquals(membership.find(OTHER).state(), MemberUpdate.State.SUSPECT);
        MemberUpdate refutation = update(OTHER, 2, MemberUpdate.State.ALIVE);
        receive(THIRD, new Message.Ping(header(THIRD, refutation), 4));
        assertEquals(membership.find(OTHER).state(), MemberUpdate.State.ALIVE);
        assertEquals(membership.find(OTHER).incarnation(), 2);
    }

    /**
     * Suspected itself, a member raises its incarnation, gossips that and is less sure of itself.
     */
    @Test
    public void suspicionOfThisMemberIsRefuted() {
        MemberUpdate suspicion = update(SELF, 1, MemberUpdate.State.SUSPECT);
        receive(OTHER, new Message.Ping(header(OTHER, suspicion), 1));
        assertEquals(membership.self().incarnation(), 2);
        assertEquals(membership.self().state(), MemberUpdate.State.ALIVE);
        assertEquals(membership.localHealthScore(), 1);
        assertEquals(sent.get(0).header().sender(), membership.self());
        assertTrue(sent.get(0).header().updates().contains(membership.self()));
        receive(OTHER, new Message.Ping(header(OTHER, suspicion), 2));
        assertEquals(membership.self().incarnation(), 2, "an old suspicion needs no refutation");
    }

    /** A ping request is relayed; the ack goes to the requester, or a nack if there is none. */
    @Test
    public void pingRequestIsRelayedAndAnswered() {
        MemberUpdate target = update(THIRD, 1, MemberUpdate.State.ALIVE);
        receive(OTHER, new Message.PingRequest(header(OTHER), 50, target));
        Message ping = sent.get(0);
        assertEquals(ping.type(), MessageType.PING);
        assertEquals(receivers.get(0), address(THIRD));
        now += ProbeCycle.ACK_TIMEOUT;
        membership.advanceTo(now);
        membership.onTimer();
        assertEquals(sentTo(OTHER, MessageType.NACK, 50), 1);
        receive(THIRD, new Message.Ack(header(THIRD), ping.sequenceNumber()));
        assertEquals(sentTo(OTHER, MessageType.ACK, 50), 1);
    }

    private int sentTo(PeerId receiver, MessageType type, int sequenceNumber) {
        int count = 0;
        for (int i = 0; i < sent.size(); i++) {
            boolean matches =
                    receivers.get(i).equals(address(receiver))
                            && sent.get(i).type() == type
                            && sent.get(i).sequenceNumber() == sequenceNumber;
            count += matches ? 1 : 0;
        }
        return count;
    }

    /** A leaving member announces itself as LEFT, and is silent from then on. */
    @Test
    public void leavingIsAnnounced() {
        receive(OTHER, new Message.Ping(header(OTHER), 1));
        sent.clear();
        membership.leave();
        assertEquals(sent.size(), 1);
        assertEquals(sent.get(0).header().sender().state(), MemberUpdate.State.LEFT);
        receive(OTHER, new Message.Ping(header(OTHER), 2));
        assertEquals(sent.size(), 1);
    }

    /** A member that did not run for a while blames itself, and gives suspects more time. */
    @Test
    public void stallIsNotHeldAgainstOthers() {
        receive(OTHER, new Message.Ping(header(OTHER), 1));
        secondsUntilChange(5);
        assertEquals(changes.get(1), "other SUSPECT by self");
        int score = membership.localHealthScore();
        now += 100;
        membership.advanceTo(now);
        membership.onTimer();
        assertEquals(membership.find(OTHER).state(), MemberUpdate.State.SUSPECT);
        assertEquals(membership.localHealthScore(), score + 2);
        assertFalse(changes.contains("other DEAD by self"));
    }
}
