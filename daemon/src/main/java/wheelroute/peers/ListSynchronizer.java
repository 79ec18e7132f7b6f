package wheelroute.peers;

import java.util.List;

/**
 * Pull-based anti-entropy. If the digest in received messages differs from this member's digest for
 * longer than gossip should take, this member requests the sender's member list page by page.
 *
 * <p>Times are in seconds. Not thread-safe.
 */
final class ListSynchronizer {
    /** Mean delay between two digest comparisons, for a size multiplier of 1. */
    private static final double COMPARISON_DELAY_SECONDS = 4 * Membership.PROBE_INTERVAL_SECONDS;

    /** Lower bound of the random factor of the delay. The upper bound is greater by 1. */
    private static final double MIN_JITTER_FACTOR = 0.5;

    /** Factor of the delay while gossip alone would take too long. */
    private static final double URGENT_DELAY_FACTOR = 0.25;

    /** Queue size, about two datagrams of updates, above which a list transfer is faster. */
    private static final int URGENT_GOSSIP_QUEUE_SIZE = 16;

    /** Number of alive members up to which this member has probably just begun to join. */
    private static final int MAX_ALIVE_COUNT_WHILE_JOINING = 2;

    /**
     * Maximum number of pages of one transfer, since a faulty member may send pages without end.
     */
    private static final int MAX_PAGES = 20_000;

    private final MemberTable table;
    private final MessageSender sender;
    private final GossipQueue gossip;
    private final DeterministicRandom random;

    /** The transfer in progress; null if there is none. */
    private Transfer transfer;

    private double nextComparisonAt;

    /** True if the digests differed at the last comparison. */
    private boolean differedBefore;

    /** A transfer of another member's list to this member. */
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

    /** Compares the digest of a received message and requests the sender's list if needed. */
    void compareDigest(MessageHeader header, double now) {
        if (header.digest() == table.digest()
                || transfer != null
                || now < nextComparisonAt
                || !header.sender().state().isAlive()) {
            return;
        }
        boolean isUrgent =
                table.aliveCount() <= MAX_ALIVE_COUNT_WHILE_JOINING
                        || gossip.size() > URGENT_GOSSIP_QUEUE_SIZE;
        nextComparisonAt = now + nextDelaySeconds(isUrgent);
        if (!isUrgent && !differedBefore) {
            // Gossip may still deliver the missing updates, so the first difference is tolerated.
            differedBefore = true;
            return;
        }
        differedBefore = false;
        transfer = new Transfer(header.sender().address());
        requestPage(null, now);
    }

    private double nextDelaySeconds(boolean isUrgent) {
        return COMPARISON_DELAY_SECONDS
                * table.sizeMultiplier()
                * (isUrgent ? URGENT_DELAY_FACTOR : 1)
                * (MIN_JITTER_FACTOR + random.next());
    }

    private void requestPage(MemberUpdate after, double now) {
        transfer.sequenceNumber = sender.nextSequenceNumber();
        transfer.expiresAt = now + Membership.PROBE_INTERVAL_SECONDS;
        sender.send(
                transfer.source,
                new Message.SyncRequest(sender.header(), transfer.sequenceNumber, after));
    }

    /** Answers a request with the page that starts after the member named in the request. */
    void onRequest(MemberAddress requester, Message.SyncRequest request) {
        List<MemberUpdate> rest = table.updatesAfter(request.after());
        int sequenceNumber = request.sequenceNumber();
        // The page also contains its last member, which is known only after the members that fit
        // are counted. Space for the longest name is therefore reserved.
        Message empty = new Message.SyncPage(sender.header(), sequenceNumber, longestName(rest));
        int count = MessageCodec.countFitting(empty, rest);
        MemberUpdate last = count == rest.size() ? null : rest.get(count - 1);
        MessageHeader header = sender.header().withUpdates(rest.subList(0, count));
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

    /** Requests the next page, if there is one. The caller applies the entries of this page. */
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

    /** Aborts the transfer in progress if its next page has not arrived in time. */
    void checkTimeout(double now) {
        if (transfer != null && now >= transfer.expiresAt) {
            transfer = null;
        }
    }

    /** Aborts the transfer in progress, if there is one. */
    void abort() {
        transfer = null;
    }
}
