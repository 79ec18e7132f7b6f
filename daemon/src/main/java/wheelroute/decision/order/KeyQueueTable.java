package wheelroute.decision.order;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheelroute.decision.Ids;

/**
 * The queues of all keys that have open requests or are blocked. This class only holds the state.
 */
public final class KeyQueueTable {
    /** The queues in the order of their creation. */
    private final Map<Ids.Key, KeyQueue> queues = new LinkedHashMap<>();

    /** Creates a table without queues. */
    public KeyQueueTable() {}

    /** Returns the queue of a key, which is created if there is none. */
    public KeyQueue getOrCreate(Ids.Key key) {
        return queues.computeIfAbsent(key, KeyQueue::new);
    }

    /** Returns whether no request is queued and no key is blocked. */
    public boolean isEmpty() {
        return queues.isEmpty();
    }

    /** Returns a copy of the list of all queues. */
    List<KeyQueue> copyOfAll() {
        return new ArrayList<>(queues.values());
    }

    void remove(KeyQueue queue) {
        queues.remove(queue.key());
    }
}
