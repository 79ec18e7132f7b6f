package wheelroute.net.requests;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wheelroute.decision.Ids;
import wheelroute.net.handover.Handover;

/**
 * The requests that are open here: accepted, with a response or an attempt still outstanding. Keeps
 * the other processes of this dispatcher informed. Only for the event loop's thread.
 */
final class OpenRequests {
    private final Map<Ids.Request, Exchange> exchanges = new HashMap<>();

    /** The ids that the clients gave them. */
    private final Set<String> clientIds = new HashSet<>();

    /** Null where no other process can take over. */
    private Handover handover;

    /** Tells other processes from now on. */
    void setHandover(Handover newHandover) {
        handover = newHandover;
    }

    /** Whether another process accepts clients in this one's place. */
    boolean hasSuccessor() {
        return handover != null && handover.hasSuccessor();
    }

    void add(Ids.Request id, String clientId, Exchange exchange) {
        exchanges.put(id, exchange);
        clientIds.add(clientId);
        if (handover != null) {
            handover.opened(clientId);
        }
    }

    /** Does nothing when it has been removed already. */
    void remove(Ids.Request id, String clientId) {
        if (exchanges.remove(id) != null) {
            clientIds.remove(clientId);
            if (handover != null) {
                handover.over(clientId);
            }
        }
    }

    /** Whether a request of this client's id is open here or in another process. */
    boolean contains(String clientId) {
        return clientIds.contains(clientId)
                || (handover != null && handover.isOpenElsewhere(clientId));
    }

    /** Null when it is not open. */
    Exchange get(Ids.Request id) {
        return exchanges.get(id);
    }

    int size() {
        return exchanges.size();
    }

    /** A copy: ending one changes the original. */
    List<Exchange> all() {
        return new ArrayList<>(exchanges.values());
    }

    /** A live, read-only view. */
    Set<String> clientIds() {
        return Collections.unmodifiableSet(clientIds);
    }
}
