package wheelroute.peers;

import java.util.List;

/**
 * One datagram between dispatchers. {@link Ping}, {@link Ack} and {@link PingRequest} belong to
 * SWIM's failure detector (Das, Gupta, Motivala, 2002), {@link Nack} to Lifeguard (Dadgar,
 * Phillips, Currey, 2017). {@link SyncRequest} and {@link SyncPage} transfer member lists
 * (anti-entropy), and the {@link LeaseMessage}s are for quota leases. Immutable.
 */
public sealed interface Message {
    /** Returns the fields that all types have in common. */
    MessageHeader header();

    /** Returns the number that matches a response to its request, chosen by the requester. */
    int sequenceNumber();

    /** Returns the type, which is encoded in the datagram. */
    MessageType type();

    /** Returns the same message with another header. */
    Message withHeader(MessageHeader other);

    /** Returns the same message with other membership updates in its header. */
    default Message withUpdates(List<MemberUpdate> updates) {
        return withHeader(header().withUpdates(updates));
    }

    /** A message about a quota lease, rather than about membership. */
    sealed interface LeaseMessage extends Message {
        /** Returns the lease that is requested, granted or released. */
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
     * Requests an indirect probe: the receiver pings the target for the sender (SWIM's ping-req).
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
     * Answers a {@link PingRequest} whose target has not answered in time (Lifeguard). So the
     * requester knows that the prober itself is reachable.
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
     * Requests the next page of the receiver's member list.
     *
     * @param header the fields that all types have in common
     * @param sequenceNumber matches a response to its request
     * @param after the page begins after this member in the order of names; null for the first page
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
     * Requests the vote of one of a share's voters.
     *
     * @param header the fields that all types have in common
     * @param sequenceNumber the holder's round of requests; grants of earlier rounds do not count
     * @param terms the lease that is concerned
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
     * Grants a {@link LeaseRequest} with the sender's vote. A request that is not granted gets no
     * response.
     *
     * @param header the fields that all types have in common
     * @param sequenceNumber the holder's round of requests; grants of earlier rounds do not count
     * @param terms the lease that is concerned
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
     * Releases a lease before it expires.
     *
     * @param header the fields that all types have in common
     * @param sequenceNumber the holder's round of requests; grants of earlier rounds do not count
     * @param terms the lease that is concerned
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
