package wheelroute.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of the membership updates to disseminate, at most one for each member. As in SWIM, updates
 * are piggybacked on the messages of the failure detector, those sent least often first.
 *
 * <p>Not thread-safe.
 */
final class GossipQueue {
    /** Transmission count of a prioritized update, below the 0 of an update never sent. */
    private static final int PRIORITIZED_TRANSMISSIONS = -1;

    private final Map<PeerId, Entry> entries = new LinkedHashMap<>();

    /** A queued update with the number of times that it was sent. */
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

    /** Adds an update and replaces any earlier update of the same member. */
    void enqueue(MemberUpdate update) {
        entries.remove(update.id());
        entries.put(update.id(), new Entry(update));
    }

    /** Removes the update of a member, if one is queued. */
    void remove(PeerId id) {
        entries.remove(id);
    }

    /** Moves a member's queued update to the front. Adds the given update if none is queued. */
    void prioritize(MemberUpdate update) {
        Entry entry = entries.computeIfAbsent(update.id(), id -> new Entry(update));
        entry.transmissions = Math.min(entry.transmissions, PRIORITIZED_TRANSMISSIONS);
    }

    /**
     * Returns the updates to send with a message, as many as fit into the datagram, and counts them
     * as sent.
     *
     * @param message the message without updates
     * @param transmitLimit number of times that an update is sent before it leaves the queue
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
