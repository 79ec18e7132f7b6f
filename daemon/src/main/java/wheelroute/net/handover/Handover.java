package wheelroute.net.handover;

import java.nio.file.Path;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import wheelroute.net.loop.EventLoop;

/**
 * Replaces a running process of a dispatcher by a successor process without losing a request. A
 * process imports the state of its predecessor, and exports its own state to its successor.
 *
 * <p>This class performs the steps that this process initiates. {@link PeerMessageHandler} reacts
 * to the other processes, {@link PeerProcesses} keeps the connections to them, and {@link
 * StateImport} imports the predecessor's state. Confined to the event loop's thread.
 */
public final class Handover {
    /** Receives the events that affect the rest of this process. */
    public interface Listener {
        /**
         * Called once after {@link #importFromPredecessor}, when all state that can be imported has
         * been imported, so that clients may be accepted.
         */
        void onStateTransferred();

        /**
         * Called when the result of {@link #processCount} or {@link #hasSuccessor} may have
         * changed.
         */
        void onProcessesChanged();
    }

    /**
     * Maximum number of file descriptors: the listening socket, a peer in each role, and a peer
     * that has not sent its greeting yet.
     */
    public static final int MAX_DESCRIPTORS = 4;

    /**
     * Maximum time to wait for the next part of the state of a predecessor, which may hang or use
     * another protocol.
     */
    private static final double IMPORT_TIMEOUT_SECONDS = 0.5;

    /**
     * Delay between accepting clients and opening the handover socket. No successor is started
     * within this time.
     */
    private static final double LISTEN_DELAY_SECONDS = 0.05;

    private final EventLoop loop;
    private final HandoverSocket socket;
    private final PeerProcesses peers;
    private final StateImport stateImport;
    private final PeerMessageHandler messageHandler;

    /** Whether this process accepts clients and is not about to end. */
    private boolean serving;

    /**
     * Creates a handover that has not begun yet.
     *
     * @param directory the directory of the handover socket, shared by all processes of the
     *     dispatcher
     * @param dispatcherName a name that all processes of the dispatcher, and no other dispatcher,
     *     use
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

    /**
     * Requests the state of a predecessor, if there is one. {@link Listener#onStateTransferred} is
     * called in any case, possibly before this method returns.
     */
    public void importFromPredecessor() {
        stateImport.begin();
        if (!socket.exists()) {
            // Without a predecessor, clients need not wait until a connect has failed.
            stateImport.finish();
            return;
        }
        loop.connect(socket.address(), new PredecessorConnector());
        loop.schedule(IMPORT_TIMEOUT_SECONDS, this::finishImportUnlessProgressing);
    }

    private void finishImportUnlessProgressing() {
        if (stateImport.progresses()) {
            loop.schedule(IMPORT_TIMEOUT_SECONDS, this::finishImportUnlessProgressing);
        } else {
            stateImport.finish();
        }
    }

    /**
     * Records that this process accepts clients. The predecessor is notified, so that it may end,
     * and the handover socket is opened for a successor.
     */
    public void onServing() {
        serving = true;
        PeerProcess predecessor = peers.get(ProcessChain.Role.PREDECESSOR);
        if (predecessor != null) {
            predecessor.send(MessageType.SERVING);
        }
        // Delayed, because clients that are waiting to connect are more urgent than a successor.
        loop.schedule(LISTEN_DELAY_SECONDS, this::listenUnlessOpen);
    }

    private void listenUnlessOpen() {
        if (serving && !socket.isOpen()) {
            listen();
        }
    }

    /**
     * Listens again after the last successor has left. The socket file may be that of the
     * successor, so a new one is created.
     */
    private void onLastSuccessorLeft() {
        if (serving) {
            listen();
        }
    }

    private void listen() {
        socket.open(new SuccessorAcceptor());
    }

    /**
     * Stops listening because the process is about to end. No successor can find the process any
     * more.
     */
    public void close() {
        serving = false;
        socket.close();
    }

    /** Returns the number of processes that share the dispatcher's budgets, including this one. */
    public int processCount() {
        return peers.processCount();
    }

    /** Returns whether a successor process accepts clients in place of this one. */
    public boolean hasSuccessor() {
        return peers.hasServingSuccessor();
    }

    /** Returns whether a request with this client-given id is open in another process. */
    public boolean isOpenElsewhere(String clientId) {
        return peers.hasOpenRequest(clientId);
    }

    /** Notifies the other processes that a request with this client-given id is open here. */
    public void onRequestOpened(String clientId) {
        peers.sendToAll(MessageType.REQUEST_OPENED, clientId);
    }

    /** Whether there are other processes of this dispatcher. */
    public boolean hasPeers() {
        return peers.processCount() > 1;
    }

    /**
     * Handles the messages that other processes have sent and that were not read yet, so that they
     * count before a client's message that was sent later.
     */
    public void readAvailable() {
        peers.readAvailable();
    }

    /** Returns whether a request with this identity is open in another process. */
    public boolean isKeyOpenElsewhere(String identity) {
        return peers.hasOpenKey(identity);
    }

    /** Notifies the other processes that a request that must not run twice is open here. */
    public void onKeyOpened(String identity) {
        peers.sendToAll(MessageType.KEY_OPENED, identity);
    }

    /** Notifies the other processes that the request with this identity is no longer open here. */
    public void onKeyClosed(String identity) {
        peers.sendToAll(MessageType.KEY_CLOSED, identity);
    }

    /** Notifies the other processes that no attempt of a request that was announced has run. */
    public void onNeverRan(String identity) {
        peers.sendToAll(MessageType.NEVER_RAN, identity);
    }

    /**
     * Notifies the other processes of an attempt before it is sent.
     *
     * @param sent run once the operating system has the message, which then arrives even if this
     *     process is killed; possibly before this method returns
     */
    public void onAttemptStarting(String attempt, Runnable sent) {
        peers.sendToAll(MessageType.ATTEMPT_STARTING, attempt);
        peers.afterSending(sent);
    }

    /**
     * Notifies the other processes that the request with this client-given id is no longer open
     * here.
     */
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
            // No process listens: the socket file was left behind by a process that was killed.
            stateImport.finish();
        }
    }

    private final class SuccessorAcceptor implements EventLoop.ChannelHandler {
        @Override
        public Connection onOpened(EndPoint endPoint) {
            // The process becomes a peer only once its greeting has been accepted.
            return new PeerProcess(endPoint, loop, ProcessChain.Role.SUCCESSOR, messageHandler);
        }

        @Override
        public void onFailed(Throwable cause) {
            // The successor has disconnected, and starts without the state of this process.
        }
    }
}
