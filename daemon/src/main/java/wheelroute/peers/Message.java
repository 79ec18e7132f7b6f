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
 * @param news what the sender has heard lately
 */
public record Message(
        Kind kind,
        int cluster,
        Sighting from,
        int number,
        int digest,
        Sighting target,
        Lease lease,
        List<Sighting> news) {
    /** What it is for. */
    public enum Kind {
        /** Are you there? */
        PING,
        /** I am; or, whom you asked me about is. */
        ACK,
        /** Ask the target for me: it does not answer me. */
        ASK,
        /** I have asked, and have no answer either: so at least I am there. */
        NACK,
        /** Tell me of those whose names follow the target's. */
        PAGE_ASK,
        /** These are the next; the target is the last of them, or nobody if there are no more. */
        PAGE,
        /** May I use this share for a while? */
        LEASE_ASK,
        /** As far as I am asked, you may. */
        LEASE_GRANT,
        /** I have stopped using it. */
        LEASE_BACK;

        boolean hasTarget() {
            return this == ASK || this == PAGE_ASK || this == PAGE;
        }

        boolean hasLease() {
            return this == LEASE_ASK || this == LEASE_GRANT || this == LEASE_BACK;
        }
    }

    /** The same with other news. */
    Message with(List<Sighting> others) {
        return new Message(kind, cluster, from, number, digest, target, lease, others);
    }

    /**
     * One share of what all dispatchers use together.
     *
     * @param share its number
     * @param life of the process that is to hold it: another start is another holder
     */
    public record Lease(int share, long life) {}
}
