package wheelroute.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of the updates that are to be disseminated, at most one for each member. As in SWIM, they
 * are piggybacked on the messages of the failure detector, and the least often sent go first.
 *
 * <p>Not thread-safe.
 */
final class GossipQueue {
    /** Transmission count of a prioritized update: below that of one that was never sent. */
    private static final int PRIORITIZED = -1;

    private final Map<PeerId, Entry> entries = new LinkedHashMap<>();

    /** An update and how often it was sent. */
    private static final class Entry {
        final MemberUpdate update;
        int transmissions;

        Entry(MemberUpdate update) {
            this.update = update;
        }
    }

    int size() {
        return entries.size();
    }

    /** Adds an update, replacing an earlier one of the same member. */
    void enqueue(MemberUpdate update) {
        entries.remove(update.id());
        entries.put(update.id(), new Entry(update));
    }

    /** Removes the update of a member, if there is one. */
    void remove(PeerId id) {
        entries.remove(id);
    }

    /** Moves a member's update to the front; adds it again if it has been removed meanwhile. */
    void prioritize(MemberUpdate update) {
        Entry entry = entries.computeIfAbsent(update.id(), id -> new Entry(update));
        entry.transmissions = Math.min(entry.transmissions, PRIORITIZED);
    }

    /**
     * Returns the updates to send with a message, as many as fit, and counts them as sent.
     *
     * @param message the message without updates
     * @param transmitLimit how often an update is sent before it is removed from the queue
     */
    List<MemberUpdate> take(Message message, int transmitLimit) {
        List<Entry> order = new ArrayList<>(entries.values());
        order.sort(Comparator.comparingInt(entry -> entry.transmissions));
        List<MemberUpdate> updates = new ArrayList<>();
        for (Entry entry : order) {
            updates.add(entry.update);
        }
        int count = MessageCodec.countFitting(message, updates);
        for (Entry entry : order.subList(0, count)) {
            if (++entry.transmissions >= transmitLimit) {
                entries.remove(entry.update.id());
            }
        }
        return updates.subList(0, count);
    }
}
