package wheelroute.net.handover;

import java.nio.file.Path;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.net.loop.EventLoop;

/**
 * Replaces a running process of one dispatcher by its successor without losing a request: a process
 * imports the state of its predecessor, and exports its own to its successor.
 *
 * <p>This class has what this process does. {@link PeerMessageHandler} reacts to what the other
 * processes do, {@link PeerProcesses} has the connections to them, and {@link StateImport} takes
 * over the predecessor's state. Only for the event loop's thread.
 */
public final class Handover {
    /** Receives what concerns the rest of this process. */
    public interface Listener {
        /**
         * All state that can be imported has been imported, so that clients may be accepted. Called
         * once after {@link #importFromPredecessor}.
         */
        void onStateTransferred();

        /** The result of {@link #processCount} or {@link #hasSuccessor} may have changed. */
        void onProcessesChanged();
    }

    /** The listening socket, a peer in each role, and one that has not sent its greeting yet. */
    public static final int DESCRIPTORS = 4;

    /** Maximum time to wait for a predecessor, which may hang or use another protocol. */
    private static final double IMPORT_TIMEOUT_SECONDS = 0.5;

    /** Time after which a successor can find this process; no successor is started so early. */
    private static final double LISTEN_DELAY_SECONDS = 0.05;

    private final EventLoop loop;
    private final HandoverSocket socket;
    private final PeerProcesses peers;
    private final StateImport stateImport;
    private final PeerMessageHandler messageHandler;

    /** Whether this process accepts clients and is not about to end. */
    private boolean serving;

    /**
     * Creates a handover that has not begun.
     *
     * @param directory shared by all processes of the dispatcher
     * @param dispatcherName the same for all of them, and different from other dispatchers'
     */
    public Handover(
            EventLoop loop,
            Path directory,
            String dispatcherName,
            TransferableState state,
            Listener listener) {
        this.loop = loop;
        socket = new HandoverSocket(loop, directory, dispatcherName);
        peers = new PeerProcesses(listener::onProcessesChanged);
        stateImport = new StateImport(state, listener::onStateTransferred);
        messageHandler =
                new PeerMessageHandler(
                        loop, dispatcherName, state, peers, stateImport, this::onLastSuccessorLeft);
    }

    // ---- the phases of this process

    /**
     * Requests the state of a predecessor, if there is one. {@link Listener#onStateTransferred}
     * follows in any case, possibly before this returns.
     */
    public void importFromPredecessor() {
        stateImport.begin();
        if (!socket.exists()) {
            // Without a predecessor clients need not wait for a connect to fail.
            stateImport.finish();
            return;
        }
        loop.connect(socket.address(), new PredecessorConnector());
        loop.schedule(IMPORT_TIMEOUT_SECONDS, stateImport::finish);
    }

    /**
     * Records that this process accepts clients: the predecessor may end, a successor may begin.
     */
    public void onServing() {
        serving = true;
        PeerProcess predecessor = peers.get(ProcessChain.Role.PREDECESSOR);
        if (predecessor != null) {
            predecessor.send(MessageType.SERVING);
        }
        // Later, as a successor is less urgent than the clients that are waiting to connect.
        loop.schedule(LISTEN_DELAY_SECONDS, this::listenUnlessOpen);
    }

    private void listenUnlessOpen() {
        if (serving && !socket.isOpen()) {
            listen();
        }
    }

    /** The socket file may be the one of the successor that left, so it is created anew. */
    private void onLastSuccessorLeft() {
        if (serving) {
            listen();
        }
    }

    private void listen() {
        socket.open(new SuccessorAcceptor());
    }

    /** Stops listening, as the process is about to end: no successor can find it any more. */
    public void close() {
        serving = false;
        socket.close();
    }

    // ---- the other processes

    /** Returns the number of processes that share the dispatcher's budgets, including this one. */
    public int processCount() {
        return peers.processCount();
    }

    /** Whether a successor process accepts clients in place of this one. */
    public boolean hasSuccessor() {
        return peers.hasServingSuccessor();
    }

    /** Whether a request with this client-given id is open in another process. */
    public boolean isOpenElsewhere(String clientId) {
        return peers.haveOpenRequest(clientId);
    }

    /** Notifies the other processes that a request with this client-given id is open here. */
    public void onRequestOpened(String clientId) {
        peers.sendToAll(MessageType.REQUEST_OPENED, clientId);
    }

    /** Notifies the other processes that the request with this id is no longer open here. */
    public void onRequestClosed(String clientId) {
        peers.sendToAll(MessageType.REQUEST_CLOSED, clientId);
    }

    private final class PredecessorConnector implements EventLoop.ChannelHandler {
        @Override
        public Connection onOpened(EndPoint endPoint) {
            PeerProcess predecessor =
                    new PeerProcess(endPoint, loop, ProcessChain.Role.PREDECESSOR, messageHandler);
            peers.put(predecessor);
            return predecessor;
        }

        @Override
        public void onFailed(Throwable cause) {
            // Nothing listens: the file was left behind by a process that was killed.
            stateImport.finish();
        }
    }

    private final class SuccessorAcceptor implements EventLoop.ChannelHandler {
        @Override
        public Connection onOpened(EndPoint endPoint) {
            // Counts as a peer only once its greeting has been accepted.
            return new PeerProcess(endPoint, loop, ProcessChain.Role.SUCCESSOR, messageHandler);
        }

        @Override
        public void onFailed(Throwable cause) {
            // The successor has disconnected, and starts without this process's state.
        }
    }
}
