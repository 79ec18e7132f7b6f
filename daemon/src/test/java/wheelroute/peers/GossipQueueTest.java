package wheelroute.peers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests the order in which updates are sent, and when they leave the queue. */
public class GossipQueueTest {
    private static final int HIGH_TRANSMIT_LIMIT = 1_000;

    private final MemberUpdate first = update("first", 1);
    private final MemberUpdate second = update("second", 1);

    private static MemberUpdate update(String name, long incarnation) {
        return new MemberUpdate(
                new PeerId(name),
                new MemberAddress(0, 1),
                incarnation,
                MemberUpdate.State.ALIVE,
                0);
    }

    private Message message() {
        return new Message.Ping(new MessageHeader(1, first, 0, List.of()), 1);
    }

    @Test
    public void removesUpdateAtTransmitLimit() {
        GossipQueue queue = new GossipQueue();
        queue.enqueue(first);
        assertEquals(queue.take(message(), 2), List.of(first));
        assertEquals(queue.take(message(), 2), List.of(first));
        assertTrue(queue.take(message(), 2).isEmpty());
        assertEquals(queue.size(), 0);
    }

    @Test
    public void takesLeastSentUpdatesFirst() {
        GossipQueue queue = new GossipQueue();
        queue.enqueue(first);
        queue.take(message(), HIGH_TRANSMIT_LIMIT);
        queue.enqueue(second);
        assertEquals(queue.take(message(), HIGH_TRANSMIT_LIMIT), List.of(second, first));
        // By now the first update has been sent twice and the second one once.
        assertEquals(queue.take(message(), HIGH_TRANSMIT_LIMIT), List.of(second, first));
        queue.prioritize(first);
        assertEquals(queue.take(message(), HIGH_TRANSMIT_LIMIT), List.of(first, second));
    }

    @Test
    public void newerUpdateReplacesEarlierOneOfSameMember() {
        GossipQueue queue = new GossipQueue();
        MemberUpdate newer = update("first", 2);
        queue.enqueue(first);
        queue.enqueue(newer);
        assertEquals(queue.take(message(), HIGH_TRANSMIT_LIMIT), List.of(newer));
        queue.remove(newer.id());
        assertEquals(queue.size(), 0);
    }

    @Test
    public void keepsUpdatesThatDoNotFitForTheNextMessage() {
        GossipQueue queue = new GossipQueue();
        int count = 20;
        for (int i = 0; i < count; i++) {
            queue.enqueue(update("member-" + i, 1));
        }
        List<MemberUpdate> taken = queue.take(message(), 1);
        assertTrue(!taken.isEmpty() && taken.size() < count, taken.size() + " updates");
        assertEquals(queue.size(), count - taken.size());
        assertEquals(queue.take(message(), 1).get(0), update("member-" + taken.size(), 1));
    }
}
