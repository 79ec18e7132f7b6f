package wheelroute.peers;

import java.util.List;

/**
 * Anti-entropy by pull: if the digest in received messages differs from this member's own for
 * longer than gossip should take, the member list of the sender is requested page by page.
 *
 * <p>Times are in seconds. Not thread-safe.
 */
final class ListSynchronizer {
    /** Mean delay between two comparisons, for a size multiplier of 1. */
    private static final double COMPARISON_DELAY_SECONDS = 4 * Membership.PROBE_INTERVAL_SECONDS;

    /** Lower bound of the random factor for the delay, which is less than 1 above it. */
    private static final double MIN_JITTER_FACTOR = 0.5;

    /** Factor for the delay if gossip alone would take too long. */
    private static final double URGENT_DELAY_FACTOR = 0.25;

    /** With more queued updates than this, about two datagrams, requesting the list is faster. */
    private static final int LONG_GOSSIP_QUEUE = 16;

    /** With no more alive members than this, this member has probably just started to join. */
    private static final int JOINING_CLUSTER_SIZE = 2;

    /** Bound on the pages of one transfer, as the list of a faulty member may have no end. */
    private static final int MAX_PAGES = 20_000;

    private final MemberTable table;
    private final MessageSender sender;
    private final GossipQueue gossip;
    private final DeterministicRandom random;

    /** The transfer in progress; null for none. */
    private Transfer transfer;

    private double nextComparisonAt;

    /** Whether the digests differed at the last comparison. */
    private boolean differedBefore;

    /** A transfer of another member's list. */
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

    /** Compares the digest of a received message, and requests the sender's list if needed. */
    void compareDigest(MessageHeader header, double now) {
        if (header.digest() == table.digest()
                || transfer != null
                || now < nextComparisonAt
                || !header.sender().state().isAlive()) {
            return;
        }
        boolean isUrgent =
                table.aliveCount() <= JOINING_CLUSTER_SIZE || gossip.size() > LONG_GOSSIP_QUEUE;
        nextComparisonAt = now + nextDelaySeconds(isUrgent);
        if (!isUrgent && !differedBefore) {
            // Gossip may still deliver the missing update: request only at the second difference.
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

    /** Answers a request with the page that follows the member it names. */
    void onRequest(MemberAddress requester, Message.SyncRequest request) {
        List<MemberUpdate> rest = table.updatesAfter(request.after());
        int sequenceNumber = request.sequenceNumber();
        // The page also names its last member, which is not known before the members are counted.
        // So space is reserved for the longest name.
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

    /** Requests the next page, if there is one. The page's entries are applied by the caller. */
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

    /** Aborts a transfer whose next page has not arrived in time. */
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
