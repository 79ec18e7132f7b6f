package wheelroute.peers;

import java.util.List;

/**
 * Content of one datagram between dispatchers. {@link Ping}, {@link Ack} and {@link PingRequest}
 * belong to SWIM's failure detector (Das, Gupta, Motivala, 2002), {@link Nack} to Lifeguard
 * (Dadgar, Phillips, Currey, 2017). {@link SyncRequest} and {@link SyncPage} transfer member lists
 * for anti-entropy, and {@link LeaseMessage}s are about quota leases. Immutable.
 */
public sealed interface Message {
    /** Returns the fields that all message types have in common. */
    MessageHeader header();

    /** Returns the number, chosen by the requester, that matches a response to its request. */
    int sequenceNumber();

    /** Returns the message type, which is encoded in the datagram. */
    MessageType type();

    /** Returns a copy of this message with another header. */
    Message withHeader(MessageHeader other);

    /** Returns a copy of this message with other membership updates in its header. */
    default Message withUpdates(List<MemberUpdate> updates) {
        return withHeader(header().withUpdates(updates));
    }

    /** A message about a quota lease. Only its header is about membership. */
    sealed interface LeaseMessage extends Message {
        /** Returns the lease that is requested, granted or released. */
        LeaseTerms terms();
    }

    /**
     * Probe of the receiver, which answers with an {@link Ack} of the same sequence number.
     *
     * @param header fields that all message types have in common
     * @param sequenceNumber number that matches a response to its request
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
     * Response to a {@link Ping}, or to a {@link PingRequest} whose target has answered.
     *
     * @param header fields that all message types have in common
     * @param sequenceNumber number that matches a response to its request
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
     * Request for an indirect probe, in which the receiver pings a target on behalf of the sender
     * (SWIM's ping-req).
     *
     * @param header fields that all message types have in common
     * @param sequenceNumber number that matches a response to its request
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
     * Response to a {@link PingRequest} whose target has not answered in time (Lifeguard). A nack
     * tells the requester that the sender of the nack itself is reachable.
     *
     * @param header fields that all message types have in common
     * @param sequenceNumber number that matches a response to its request
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
     * Request for the next page of the receiver's member list.
     *
     * @param header fields that all message types have in common
     * @param sequenceNumber number that matches a response to its request
     * @param after member after which the page begins in the order of names; null for the first
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
     * One page of the sender's member list. The entries are the updates in the header.
     *
     * @param header fields that all message types have in common
     * @param sequenceNumber number that matches a response to its request
     * @param last last member on the page; null if the list ends with this page
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
     * Request for a voter's vote on the lease of a share.
     *
     * @param header fields that all message types have in common
     * @param sequenceNumber holder's round of requests; grants of earlier rounds do not count
     * @param terms lease that the message refers to
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
     * Vote of the sender in favor of a {@link LeaseRequest}. A request that is not granted gets no
     * response.
     *
     * @param header fields that all message types have in common
     * @param sequenceNumber holder's round of requests; grants of earlier rounds do not count
     * @param terms lease that the message refers to
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
     * Notice of the holder to a voter that a lease is released before its expiry.
     *
     * @param header fields that all message types have in common
     * @param sequenceNumber holder's round of requests; grants of earlier rounds do not count
     * @param terms lease that the message refers to
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
