package wheelroute.peers;

import java.util.List;

/**
 * One datagram between dispatchers. The types of SWIM's failure detector (Das, Gupta, Motivala,
 * 2002) are {@link Ping}, {@link Ack} and {@link PingRequest}; {@link Nack} is Lifeguard's (Dadgar,
 * Phillips, Currey, 2017). {@link SyncRequest} and {@link SyncPage} compare whole member lists
 * (anti-entropy), and the {@link LeaseMessage}s request and grant quota leases.
 */
public sealed interface Message {
    /** The fields that all types have in common. */
    MessageHeader header();

    /** Matches a response to its request; chosen by whoever sends the request. */
    int sequenceNumber();

    /** The type code on the wire. */
    MessageType type();

    /** The same message with another header. */
    Message withHeader(MessageHeader other);

    /** The same message with other membership updates in its header. */
    default Message withUpdates(List<MemberUpdate> updates) {
        return withHeader(header().withUpdates(updates));
    }

    /** A message about a quota lease, rather than about membership. */
    sealed interface LeaseMessage extends Message {
        /** The lease that is requested, granted or released. */
        LeaseTerms terms();
    }

    /**
     * Probes the receiver, which answers with an {@link Ack} of the same sequence number.
     *
     * @param header the fields that all types have in common
     * @param sequenceNumber matches a response to its request
     */
    record Ping(MessageHeader header, int sequenceNumber) implements Message {
        @Override
        public MessageType type() {
            return MessageType.PING;
        }

        @Override
        public Ping withHeader(MessageHeader other) {
            return new Ping(other, sequenceNumber);
        }
    }

    /**
     * Answers a {@link Ping}, or a {@link PingRequest} whose target has answered.
     *
     * @param header the fields that all types have in common
     * @param sequenceNumber matches a response to its request
     */
    record Ack(MessageHeader header, int sequenceNumber) implements Message {
        @Override
        public MessageType type() {
            return MessageType.ACK;
        }

        @Override
        public Ack withHeader(MessageHeader other) {
            return new Ack(other, sequenceNumber);
        }
    }

    /**
     * Asks the receiver to probe the target on the sender's behalf (SWIM's ping-req).
     *
     * @param header the fields that all types have in common
     * @param sequenceNumber matches a response to its request
     * @param target the member to be probed; never null
     */
    record PingRequest(MessageHeader header, int sequenceNumber, MemberUpdate target)
            implements Message {
        @Override
        public MessageType type() {
            return MessageType.PING_REQUEST;
        }

        @Override
        public PingRequest withHeader(MessageHeader other) {
            return new PingRequest(other, sequenceNumber, target);
        }
    }

    /**
     * Answers a {@link PingRequest} whose target has not answered in time (Lifeguard). It shows
     * that the receiver of the request is itself reachable.
     *
     * @param header the fields that all types have in common
     * @param sequenceNumber matches a response to its request
     */
    record Nack(MessageHeader header, int sequenceNumber) implements Message {
        @Override
        public MessageType type() {
            return MessageType.NACK;
        }

        @Override
        public Nack withHeader(MessageHeader other) {
            return new Nack(other, sequenceNumber);
        }
    }

    /**
     * Asks for the next page of the receiver's member list.
     *
     * @param header the fields that all types have in common
     * @param sequenceNumber matches a response to its request
     * @param after the page begins behind this member, in the order of names; null for the first
     *     page
     */
    record SyncRequest(MessageHeader header, int sequenceNumber, MemberUpdate after)
            implements Message {
        @Override
        public MessageType type() {
            return MessageType.SYNC_REQUEST;
        }

        @Override
        public SyncRequest withHeader(MessageHeader other) {
            return new SyncRequest(other, sequenceNumber, after);
        }
    }

    /**
     * One page of the sender's member list; its entries are the updates of the header.
     *
     * @param header the fields that all types have in common
     * @param sequenceNumber matches a response to its request
     * @param last the last member on the page; null if the list ends with this page
     */
    record SyncPage(MessageHeader header, int sequenceNumber, MemberUpdate last)
            implements Message {
        @Override
        public MessageType type() {
            return MessageType.SYNC_PAGE;
        }

        @Override
        public SyncPage withHeader(MessageHeader other) {
            return new SyncPage(other, sequenceNumber, last);
        }
    }

    /**
     * Asks a member of a lease's quorum group for its vote.
     *
     * @param header the fields that all types have in common
     * @param sequenceNumber the holder's round of requests; grants of earlier rounds do not count
     * @param terms the lease it is about
     */
    record LeaseRequest(MessageHeader header, int sequenceNumber, LeaseTerms terms)
            implements LeaseMessage {
        @Override
        public MessageType type() {
            return MessageType.LEASE_REQUEST;
        }

        @Override
        public LeaseRequest withHeader(MessageHeader other) {
            return new LeaseRequest(other, sequenceNumber, terms);
        }
    }

    /**
     * Gives the sender's vote for a {@link LeaseRequest}. There is no message to refuse one.
     *
     * @param header the fields that all types have in common
     * @param sequenceNumber the holder's round of requests; grants of earlier rounds do not count
     * @param terms the lease it is about
     */
    record LeaseGrant(MessageHeader header, int sequenceNumber, LeaseTerms terms)
            implements LeaseMessage {
        @Override
        public MessageType type() {
            return MessageType.LEASE_GRANT;
        }

        @Override
        public LeaseGrant withHeader(MessageHeader other) {
            return new LeaseGrant(other, sequenceNumber, terms);
        }
    }

    /**
     * Gives a lease back before it expires.
     *
     * @param header the fields that all types have in common
     * @param sequenceNumber the holder's round of requests; grants of earlier rounds do not count
     * @param terms the lease it is about
     */
    record LeaseRelease(MessageHeader header, int sequenceNumber, LeaseTerms terms)
            implements LeaseMessage {
        @Override
        public MessageType type() {
            return MessageType.LEASE_RELEASE;
        }

        @Override
        public LeaseRelease withHeader(MessageHeader other) {
            return new LeaseRelease(other, sequenceNumber, terms);
        }
    }
}
