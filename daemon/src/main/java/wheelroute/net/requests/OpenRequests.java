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
 * The open requests of this process: accepted, with a response or an attempt still outstanding.
 * Notifies the dispatcher's other processes of each one that is added or removed. Only for the
 * event loop's thread.
 */
final class OpenRequests {
    private final Map<Ids.Request, Exchange> exchanges = new HashMap<>();

    /** The ids that the clients gave to the open requests. */
    private final Set<String> clientIds = new HashSet<>();

    /** Null if no other process can take over from this one. */
    private Handover handover;

    /** Sets the handover, whose processes are notified from now on. */
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

    /** Removes a request; does nothing if it has already been removed. */
    void remove(Ids.Request id, String clientId) {
        if (exchanges.remove(id) != null) {
            clientIds.remove(clientId);
            if (handover != null) {
                handover.onRequestClosed(clientId);
            }
        }
    }

    /** Whether a request with this client-given id is open, here or in another process. */
    boolean contains(String clientId) {
        return clientIds.contains(clientId)
                || (handover != null && handover.isOpenElsewhere(clientId));
    }

    /** Returns the exchange of a request, or null if it is not open. */
    Exchange get(Ids.Request id) {
        return exchanges.get(id);
    }

    int size() {
        return exchanges.size();
    }

    /** Returns a copy of all exchanges, which may be removed while the caller iterates. */
    List<Exchange> all() {
        return new ArrayList<>(exchanges.values());
    }

    /** Returns a live, read-only view of the ids that the clients gave. */
    Set<String> clientIds() {
        return Collections.unmodifiableSet(clientIds);
    }
}
