package wheelroute.peers;

import java.util.List;

/**
 * Anti-entropy: if the digest in a message differs from this member's own for longer than gossip
 * should need, the sender's member list is read page by page.
 */
final class ListSynchronizer {
    /** Delay between comparisons in seconds, times the cluster's size multiplier. */
    private static final double COMPARISON_DELAY = 4 * Membership.PROBE_INTERVAL_SECONDS;

    /** Factor for the delay if it is known that gossip alone would take too long. */
    private static final double URGENT_FACTOR = 0.25;

    /** With more queued updates than this, about two datagrams, reading the list is faster. */
    private static final int LONG_GOSSIP_QUEUE = 16;

    /** A cluster of at most this size has a member that is only joining, or next to nobody. */
    private static final int JOINING_SIZE = 2;

    /** Bound on the pages read in a row: a faulty member's list may have no end. */
    private static final int MAX_PAGES = 20_000;

    private final MemberTable table;
    private final MessageSender sender;
    private final GossipQueue gossip;
    private final DeterministicRandom random;
    private Transfer transfer;
    private double nextComparisonAt;
    private boolean differedBefore;

    /** A list that is being read from another member. */
    private static final class Transfer {
        final MemberAddress source;
        int sequenceNumber;
        int pages;
        double expiresAt;

        Transfer(MemberAddress source) {
            this.source = source;
        }
    }

    ListSynchronizer(
            MemberTable table,
            MessageSender sender,
            GossipQueue gossip,
            DeterministicRandom random) {
        this.table = table;
        this.sender = sender;
        this.gossip = gossip;
        this.random = random;
    }

    /**
     * Compares the digest of a received message, and begins to read the sender's list if needed.
     */
    void compareDigest(MessageHeader header, double now) {
        if (header.digest() == table.digest()
                || transfer != null
                || now < nextComparisonAt
                || !header.sender().state().isAlive()) {
            return;
        }
        boolean urgent = table.aliveCount() <= JOINING_SIZE || gossip.size() > LONG_GOSSIP_QUEUE;
        nextComparisonAt =
                now
                        + COMPARISON_DELAY
                                * table.sizeMultiplier()
                                * (urgent ? URGENT_FACTOR : 1)
                                * (0.5 + random.next());
        if (!urgent && !differedBefore) {
            // The update that makes the difference may be on its way: wait for a second one.
            differedBefore = true;
            return;
        }
        differedBefore = false;
        transfer = new Transfer(header.sender().address());
        requestPage(null, now);
    }

    private void requestPage(MemberUpdate after, double now) {
        transfer.sequenceNumber = sender.nextSequenceNumber();
        transfer.expiresAt = now + Membership.PROBE_INTERVAL_SECONDS;
        sender.send(
                transfer.source,
                new Message.SyncRequest(sender.header(), transfer.sequenceNumber, after));
    }

    /** Answers another member's request with the page behind the member it names. */
    void onRequest(MemberAddress requester, Message.SyncRequest request) {
        List<MemberUpdate> rest = table.updatesAfter(request.after());
        int sequenceNumber = request.sequenceNumber();
        // Measured with the longest name as the page's last, so that any member has space there.
        Message empty = new Message.SyncPage(sender.header(), sequenceNumber, longestName(rest));
        int fitting = MessageCodec.fitting(empty, rest);
        MemberUpdate last = fitting == rest.size() ? null : rest.get(fitting - 1);
        MessageHeader header = sender.header().withUpdates(rest.subList(0, fitting));
        sender.send(requester, new Message.SyncPage(header, sequenceNumber, last));
    }

    private static MemberUpdate longestName(List<MemberUpdate> updates) {
        MemberUpdate longest = null;
        for (MemberUpdate update : updates) {
            if (longest == null || update.id().name().length() > longest.id().name().length()) {
                longest = update;
            }
        }
        return longest;
    }

    /** Requests the next page, if the list goes on; the entries have been applied before. */
    void onPage(Message.SyncPage page, double now) {
        if (transfer == null || transfer.sequenceNumber != page.sequenceNumber()) {
            return;
        }
        if (page.last() == null || ++transfer.pages > MAX_PAGES) {
            transfer = null;
        } else {
            requestPage(page.last(), now);
        }
    }

    /** Gives up a transfer whose next page does not arrive. */
    void checkTimeout(double now) {
        if (transfer != null && now >= transfer.expiresAt) {
            transfer = null;
        }
    }

    /** Gives up a transfer that is under way. */
    void abort() {
        transfer = null;
    }
}
