package wheelroute.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Updates still to be disseminated, at most one for each member. They are piggybacked on the
 * failure detector's messages, those first that were sent least often, as in SWIM.
 */
final class GossipQueue {
    /** Sorts before all entries that were never sent. */
    private static final int PRIORITY = -1;

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

    /** Adds an update in place of any earlier one of the same member. */
    void enqueue(MemberUpdate update) {
        entries.remove(update.id());
        entries.put(update.id(), new Entry(update));
    }

    /** Drops the update of a member, as it is outdated. */
    void remove(PeerId id) {
        entries.remove(id);
    }

    /** Sends the member's update in the next datagram, also if it was sent often enough before. */
    void prioritize(MemberUpdate update) {
        Entry entry = entries.computeIfAbsent(update.id(), id -> new Entry(update));
        entry.transmissions = Math.min(entry.transmissions, PRIORITY);
    }

    /**
     * Takes the updates that are to go with a message, and counts them as sent.
     *
     * @param message the message without updates, which leaves the space that they share
     * @param transmitLimit how often an update is sent before it is dropped from the queue
     */
    List<MemberUpdate> take(Message message, int transmitLimit) {
        List<Entry> order = new ArrayList<>(entries.values());
        order.sort(Comparator.comparingInt(entry -> entry.transmissions));
        List<MemberUpdate> updates = new ArrayList<>();
        for (Entry entry : order) {
            updates.add(entry.update);
        }
        int fitting = MessageCodec.fitting(message, updates);
        for (Entry entry : order.subList(0, fitting)) {
            if (++entry.transmissions >= transmitLimit) {
                entries.remove(entry.update.id());
            }
        }
        return updates.subList(0, fitting);
    }
}
