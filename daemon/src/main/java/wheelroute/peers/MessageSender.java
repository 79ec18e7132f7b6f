package wheelroute.peers;

import java.util.List;

/**
 * Sends this member's messages. The sender fills in the header and piggybacks gossip.
 *
 * <p>Not thread-safe.
 */
final class MessageSender {
    /** Number of times that an update is sent, for a size multiplier of 1. */
    private static final double RETRANSMIT_MULTIPLIER = 4;

    private final int cluster;
    private final MemberTable table;
    private final GossipQueue gossip;
    private final Membership.Transport transport;
    private int lastSequenceNumber;

    MessageSender(
            int cluster, MemberTable table, GossipQueue gossip, Membership.Transport transport) {
        this.cluster = cluster;
        this.table = table;
        this.gossip = gossip;
        this.transport = transport;
    }

    /** Returns a sequence number that this member has not used before. */
    int nextSequenceNumber() {
        return ++lastSequenceNumber;
    }

    /** Returns a header without updates that reflects the current state of this member. */
    MessageHeader header() {
        return new MessageHeader(cluster, table.self(), table.digest(), List.of());
    }

    /** Returns how often an update is sent until the whole cluster should have received it. */
    int transmitLimit() {
        return (int) Math.ceil(RETRANSMIT_MULTIPLIER * table.sizeMultiplier());
    }

    void ping(MemberAddress to, int sequenceNumber) {
        sendWithGossip(to, new Message.Ping(header(), sequenceNumber));
    }

    void ack(MemberAddress to, int sequenceNumber) {
        sendWithGossip(to, new Message.Ack(header(), sequenceNumber));
    }

    void nack(MemberAddress to, int sequenceNumber) {
        sendWithGossip(to, new Message.Nack(header(), sequenceNumber));
    }

    void pingRequest(MemberAddress to, int sequenceNumber, MemberUpdate target) {
        sendWithGossip(to, new Message.PingRequest(header(), sequenceNumber, target));
    }

    private void sendWithGossip(MemberAddress to, Message message) {
        transport.send(to, message.withUpdates(gossip.take(message, transmitLimit())));
    }

    /** Sends a message without adding gossip. */
    void send(MemberAddress to, Message message) {
        transport.send(to, message);
    }
}
