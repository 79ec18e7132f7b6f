package wheelroute.net.handover;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;

/**
 * Keeps the connections to the predecessor and the successor process, and the number of processes
 * of the dispatcher, which follows from the reports of these peers. Confined to the event loop's
 * thread.
 */
final class PeerProcesses {
    private final Runnable onProcessesChanged;
    private final ProcessChain chain = new ProcessChain();

    /**
     * Contains a predecessor once it is connected, and a successor once its greeting has been
     * accepted.
     */
    private final Map<ProcessChain.Role, PeerProcess> peers =
            new EnumMap<>(ProcessChain.Role.class);

    /**
     * Creates a set without peers.
     *
     * @param onProcessesChanged run after each change of the number or state of the processes
     */
    PeerProcesses(Runnable onProcessesChanged) {
        this.onProcessesChanged = onProcessesChanged;
    }

    /** Returns the peer in this role, or null if there is none. */
    PeerProcess get(ProcessChain.Role role) {
        return peers.get(role);
    }

    /**
     * Sets the current peer in its role. {@link #join} counts the peer once its greeting has been
     * accepted.
     */
    void put(PeerProcess peer) {
        peers.put(peer.role(), peer);
    }

    /** Counts a peer whose greeting has been accepted as a process of this dispatcher. */
    void join(PeerProcess peer) {
        chain.join(peer.role());
        publishChange();
    }

    /**
     * Removes a peer.
     *
     * @return false if the peer was not the current one in its role, so that nothing has changed
     */
    boolean remove(PeerProcess peer) {
        if (!peers.remove(peer.role(), peer)) {
            return false;
        }
        chain.leave(peer.role());
        publishChange();
        return true;
    }

    /** Records the number of processes that a peer has reported behind itself. */
    void setProcessesBehind(PeerProcess peer, int count) {
        chain.setBehind(peer.role(), count);
        publishChange();
    }

    /** Records that the successor accepts clients. */
    void onSuccessorServing() {
        chain.onSuccessorServing();
        publishChange();
    }

    private void publishChange() {
        peers.forEach((role, peer) -> peer.sendProcessesBehind(chain.countToReportTo(role)));
        onProcessesChanged.run();
    }

    /** Returns the number of processes of this dispatcher, including this one. */
    int processCount() {
        return chain.processCount();
    }

    /** Returns whether there is a successor that accepts clients. */
    boolean hasServingSuccessor() {
        return chain.hasServingSuccessor();
    }

    /** Returns whether the successor exists and is the last process of the chain. */
    boolean isSuccessorLast() {
        return chain.isSuccessorLast();
    }

    /** Returns whether a request with this client-given id is open in one of the peers. */
    boolean hasOpenRequest(String clientId) {
        for (PeerProcess peer : peers.values()) {
            if (peer.openRequestIds().contains(clientId)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a request with this identity is open in one of the peers. */
    boolean hasOpenKey(String identity) {
        for (PeerProcess peer : peers.values()) {
            if (peer.openKeys().contains(identity)) {
                return true;
            }
        }
        return false;
    }

    /** Sends a message to all peers, any of which may be disconnected by that. */
    void sendToAll(MessageType type, String body) {
        for (PeerProcess peer : List.copyOf(peers.values())) {
            peer.send(type, body);
        }
    }

    /** Sends a message of one peer on to the peer on the other side. */
    void forward(PeerProcess sender, MessageType type, String body) {
        PeerProcess other = peers.get(sender.role().other());
        if (other != null) {
            other.send(type, body);
        }
    }

    /** Runs a task once all that was sent to the peers has been written, or they have left. */
    void afterSending(Runnable task) {
        afterSending(new ArrayDeque<>(peers.values()), task);
    }

    private static void afterSending(Queue<PeerProcess> waitingFor, Runnable task) {
        PeerProcess next = waitingFor.poll();
        if (next == null) {
            task.run();
        } else {
            next.afterSending(() -> afterSending(waitingFor, task));
        }
    }

    /** Handles the messages of all peers that have arrived and were not read yet. */
    void readAvailable() {
        for (PeerProcess peer : List.copyOf(peers.values())) {
            peer.readAvailable();
        }
    }
}
