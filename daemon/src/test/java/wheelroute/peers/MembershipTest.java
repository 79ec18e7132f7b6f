package wheelroute.peers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests the reactions of one member to single messages. The kit's PeerModelTest covers clusters.
 */
public class MembershipTest {
    private static final int CLUSTER = 5;
    private static final PeerId SELF = new PeerId("self");
    private static final PeerId OTHER = new PeerId("other");
    private static final PeerId THIRD = new PeerId("another");
    private static final double START = 100;
    private static final double TIMER_STEP_SECONDS = 0.05;

    /** Suspicion timeout in a cluster of two, for a healthy member. */
    private static final double MIN_SUSPICION_TIMEOUT_SECONDS =
            4 * Membership.PROBE_INTERVAL_SECONDS;

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
        public void scheduleTimer(double delaySeconds) {
            // The tests call onTimer at short intervals, so no timer is needed.
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

    /** Starts a member that knows no other member and has only its own address as a seed. */
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

    /** Runs the timer until a state change is reported. Returns the elapsed seconds. */
    private double secondsUntilChange(double timeout) {
        double from = now;
        int before = changes.size();
        while (changes.size() == before && now < from + timeout) {
            now += TIMER_STEP_SECONDS;
            membership.advanceTo(now);
            membership.onTimer();
        }
        return now - from;
    }

    @Test
    public void answersPingAndAddsItsSender() {
        receive(OTHER, new Message.Ping(header(OTHER), 77));
        assertEquals(changes, List.of("other ALIVE by other"));
        assertEquals(membership.aliveCount(), 2);
        Message ack = sent.get(0);
        assertEquals(ack.type(), MessageType.ACK);
        assertEquals(ack.sequenceNumber(), 77);
        assertEquals(receivers.get(0), address(OTHER));
    }

    @Test
    public void ignoresMessageOfAnotherCluster() {
        MemberUpdate sender = update(OTHER, 1, MemberUpdate.State.ALIVE);
        MessageHeader foreign = new MessageHeader(CLUSTER + 1, sender, 0, List.of());
        receive(OTHER, new Message.Ping(foreign, 1));
        assertEquals(membership.aliveCount(), 1);
        assertTrue(sent.isEmpty());
    }

    @Test
    public void marksUnresponsiveMemberAsSuspectAndThenAsDead() {
        receive(OTHER, new Message.Ping(header(OTHER), 1));
        double untilSuspect = secondsUntilChange(5);
        assertEquals(changes.get(1), "other SUSPECT by self");
        // One interval passes until the next probe and one during the probe, each rounded up to a
        // timer step.
        double latest = 2 * (Membership.PROBE_INTERVAL_SECONDS + TIMER_STEP_SECONDS);
        assertTrue(
                untilSuspect <= latest,
                "suspected after " + untilSuspect + " s, expected at most " + latest);
        assertEquals(membership.aliveCount(), 2, "a suspect must count as alive");
        double untilDead = secondsUntilChange(30);
        assertEquals(changes.get(2), "other DEAD by self");
        assertTrue(
                untilDead >= MIN_SUSPICION_TIMEOUT_SECONDS - TIMER_STEP_SECONDS,
                "declared dead after " + untilDead + " s");
        assertEquals(membership.aliveCount(), 1);
        assertEquals(membership.find(OTHER).state(), MemberUpdate.State.DEAD);
    }

    @Test
    public void acceptsRefutationOnlyWithHigherIncarnation() {
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

    @Test
    public void refutesSuspicionOfItselfAndDegradesLocalHealth() {
        MemberUpdate suspicion = update(SELF, 1, MemberUpdate.State.SUSPECT);
        receive(OTHER, new Message.Ping(header(OTHER, suspicion), 1));
        assertEquals(membership.self().incarnation(), 2);
        assertEquals(membership.self().state(), MemberUpdate.State.ALIVE);
        assertEquals(membership.localHealthScore(), 1);
        assertEquals(sent.get(0).header().sender(), membership.self());
        assertTrue(sent.get(0).header().updates().contains(membership.self()));
        receive(OTHER, new Message.Ping(header(OTHER, suspicion), 2));
        assertEquals(
                membership.self().incarnation(), 2, "an old suspicion must not be refuted again");
    }

    @Test
    public void answersPingRequestWithNackAtTimeoutAndForwardsLateAck() {
        MemberUpdate target = update(THIRD, 1, MemberUpdate.State.ALIVE);
        receive(OTHER, new Message.PingRequest(header(OTHER), 50, target));
        Message ping = sent.get(0);
        assertEquals(ping.type(), MessageType.PING);
        assertEquals(receivers.get(0), address(THIRD));
        now += ProbeCycle.ACK_TIMEOUT_SECONDS;
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

    @Test
    public void announcesItsLeaveAndAnswersNoMoreMessages() {
        receive(OTHER, new Message.Ping(header(OTHER), 1));
        sent.clear();
        membership.leave();
        assertEquals(sent.size(), 1);
        assertEquals(sent.get(0).header().sender().state(), MemberUpdate.State.LEFT);
        receive(OTHER, new Message.Ping(header(OTHER), 2));
        assertEquals(sent.size(), 1);
    }

    @Test
    public void stallDegradesLocalHealthAndPostponesSuspicionTimers() {
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
