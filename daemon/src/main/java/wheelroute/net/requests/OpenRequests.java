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
 * The open requests of this process. A request is open from its acceptance until it has neither a
 * response nor an attempt outstanding. Notifies the dispatcher's other processes of each request
 * that is added or removed. Used on the event loop's thread only.
 */
final class OpenRequests {
    private final Map<Ids.Request, Exchange> exchanges = new HashMap<>();

    /** The ids that the clients gave to the open requests. */
    private final Set<String> clientIds = new HashSet<>();

    /** The handover to the other processes; null if no process can take over from this one. */
    private Handover handover;

    /** Sets the handover whose processes are notified from now on, or null for none. */
    void setHandover(Handover newHandover) {
        handover = newHandover;
    }

    /** Whether a successor process accepts clients in place of this one. */
    boolean hasSuccessor() {
        return handover != null && handover.hasSuccessor();
    }

    void add(Ids.Request id, String clientId, Exchange exchange) {
        exchanges.put(id, exchange);
        clientIds.add(clientId);
        if (handover != null) {
            handover.onRequestOpened(clientId);
        }
    }

    /** Removes a request. */
    void remove(Ids.Request id, String clientId) {
        exchanges.remove(id);
        clientIds.remove(clientId);
        if (handover != null) {
            handover.onRequestClosed(clientId);
        }
    }

    /** Whether a request with an id given by its client is open, here or in another process. */
    boolean contains(String clientId) {
        return clientIds.contains(clientId)
                || (handover != null && handover.isOpenElsewhere(clientId));
    }

    /** Returns the exchange of a request, or null if the request is not open. */
    Exchange get(Ids.Request id) {
        return exchanges.get(id);
    }

    int size() {
        return exchanges.size();
    }

    /** Returns a copy of all exchanges, so that the caller may remove them while iterating. */
    List<Exchange> all() {
        return new ArrayList<>(exchanges.values());
    }

    /** Returns a live, read-only view of the ids that the clients gave to the open requests. */
    Set<String> clientIds() {
        return Collections.unmodifiableSet(clientIds);
    }
}
