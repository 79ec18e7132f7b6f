package wheelroute.peers;

import java.util.List;

/**
 * One datagram between dispatchers.
 *
 * @param cluster all of one installation have the same; others are not listened to
 * @param from who sends it, as it sees itself
 * @param number by which an answer is known; its meaning is the kind's
 * @param digest of the list of those who are there, as the sender has it
 * @param target whom the message is about, or where a page begins; null where the kind has none
 * @param lease what is asked or granted; null where the kind has none
 * @param updates what the sender has heard lately
 */
public record Message(
        Kind kind,
        int cluster,
        MemberUpdate from,
        int number,
        int digest,
        MemberUpdate target,
        LeaseTerms lease,
        List<MemberUpdate> updates) {
    /** What it is for. */
    public enum Kind {
        /** Are you there? */
        PING,
        /** I am; or, whom you asked me about is. */
        ACK,
        /** Ask the target for me: it does not answer me. */
        PING_REQUEST,
        /** I have asked, and have no answer either: so at least I am there. */
        NACK,
        /** Tell me of those whose names follow the target's. */
        SYNC_REQUEST,
        /** These are the next; the target is the last of them, or nobody if there are no more. */
        SYNC_PAGE,
        /** May I use this share for a while? */
        LEASE_REQUEST,
        /** As far as I am asked, you may. */
        LEASE_GRANT,
        /** I have stopped using it. */
        LEASE_RELEASE;

        boolean hasTarget() {
            return this == PING_REQUEST || this == SYNC_REQUEST || this == SYNC_PAGE;
        }

        boolean hasLease() {
            return this == LEASE_REQUEST || this == LEASE_GRANT || this == LEASE_RELEASE;
        }
    }

    /** The same with other news. */
    Message with(List<MemberUpdate> others) {
        return new Message(kind, cluster, from, number, digest, target, lease, others);
    }

    /**
     * One share of what all dispatchers use together.
     *
     * @param share its number
     * @param incarnation of the process that is to hold it: another start is another holder
     */
    public record LeaseTerms(int share, long incarnation) {}
}
