package wheelroute.net.handover;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.Map;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.net.loop.EventLoop;

/**
 * Replaces a running process of one dispatcher by the next without losing a request: a process
 * imports the state of its predecessor, and exports its own to its successor. The protocol is in
 * docs/design/handover.md. Only for the event loop's thread.
 */
public final class Handover implements PeerProcess.Listener {
    /** The state that goes from one process to the next. */
    public interface TransferableState {
        /** The endpoint list as discovery sends it; null before the first. */
        String exportEndpoints();

        /** What the policy has learned, as one line. */
        String exportLearnedState();

        /** The clients' ids of the requests that are open in this process. */
        Iterable<String> openRequestIds();

        /**
         * Takes over a predecessor's list.
         *
         * @throws IOException if it is not a list
         */
        void importEndpoints(byte[] list) throws IOException;

        /**
         * Takes over what a predecessor has learned.
         *
         * @throws IOException if it is not as this version writes it
         */
        void importLearnedState(byte[] learned) throws IOException;
    }

    /** Hears what follows for this process. */
    public interface Listener {
        /** All state that can be imported has been: clients may be accepted. Comes once. */
        void onStateTransferred();

        /** See {@link #processes} and {@link #hasSuccessor}. */
        void onProcessesChanged();
    }

    /** The listening socket, a peer on either side, and one that has not greeted yet. */
    public static final int DESCRIPTORS = 4;

    /** Seconds to wait for a predecessor: it may be stuck, or speak another protocol. */
    private static final double PEER_TIMEOUT = 0.5;

    /** Seconds until this process can be found: well before anybody could begin to replace it. */
    private static final double LISTEN_DELAY = 0.05;

    private static final Logger LOG = LoggerFactory.getLogger(Handover.class);

    private final EventLoop loop;
    private final String dispatcherName;
    private final TransferableState state;
    private final Listener listener;
    private final HandoverSocket socket;
    private final ProcessChain chain = new ProcessChain();

    /** A predecessor from its connection on, a successor from its greeting on. */
    private final Map<ProcessChain.Role, PeerProcess> peers =
            new EnumMap<>(ProcessChain.Role.class);

    private boolean awaitsState;
    private boolean serving;

    /**
     * Prepares a handover; {@link #begin} has to follow.
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
        this.dispatcherName = dispatcherName;
        this.state = state;
        this.listener = listener;
        socket = new HandoverSocket(loop, directory, dispatcherName);
    }

    // ---- what this process does

    /**
     * Asks a predecessor for its state, if there is one; {@link Listener#onStateTransferred}
     * follows in any case, possibly at once.
     */
    public void begin() {
        awaitsState = true;
        if (!socket.exists()) {
            // There has never been a predecessor: clients need not wait for a failed connect.
            finishTransfer();
            return;
        }
        loop.connect(socket.address(), new PredecessorHandler());
        loop.schedule(PEER_TIMEOUT, this::finishTransfer);
    }

    private void finishTransfer() {
        if (awaitsState) {
            awaitsState = false;
            listener.onStateTransferred();
        }
    }

    /** This process accepts clients: its predecessor may end, and a successor may find it. */
    public void serving() {
        serving = true;
        PeerProcess predecessor = peers.get(ProcessChain.Role.PREDECESSOR);
        if (predecessor != null) {
            predecessor.send(MessageType.SERVING);
        }
        // After the clients that wait: a successor comes later.
        loop.schedule(LISTEN_DELAY, this::listenFirst);
    }

    private void listenFirst() {
        if (serving && !socket.isOpen()) {
            listen();
        }
    }

    private void listen() {
        socket.open(new SuccessorHandler());
    }

    /** The process is about to end: it cannot be found any more. */
    public void end() {
        // From here on a peer that leaves is no reason to listen again.
        serving = false;
        socket.close();
    }

    /** How many processes share what the dispatcher has, this one included. */
    public int processes() {
        return chain.processes();
    }

    /** Whether another process accepts clients in this one's place. */
    public boolean hasSuccessor() {
        return chain.hasSuccessor();
    }

    /** Whether a request with this client's id is open in another process. */
    public boolean isOpenElsewhere(String clientId) {
        for (PeerProcess peer : peers.values()) {
            if (peer.openRequestIds().contains(clientId)) {
                return true;
            }
        }
        return false;
    }

    /** A request with this client's id is open here. */
    public void opened(String clientId) {
        sendToAll(MessageType.REQUEST_OPENED, clientId);
    }

    /** The request with this client's id is not open here any more. */
    public void over(String clientId) {
        sendToAll(MessageType.REQUEST_CLOSED, clientId);
    }

    private void sendToAll(MessageType type, String body) {
        for (PeerProcess peer : peers.values()) {
            peer.send(type, body);
        }
    }

    // ---- what the peers do

    private final class PredecessorHandler implements EventLoop.ChannelHandler {
        @Override
        public Connection onOpened(EndPoint endPoint) {
            ProcessChain.Role role = ProcessChain.Role.PREDECESSOR;
            PeerProcess peer = new PeerProcess(endPoint, loop, role, Handover.this);
            peers.put(role, peer);
            return peer;
        }

        @Override
        public void onFailed(Throwable cause) {
            // Nobody listens: the file is left over from a process that was killed.
            finishTransfer();
        }
    }

    private final class SuccessorHandler implements EventLoop.ChannelHandler {
        @Override
        public Connection onOpened(EndPoint endPoint) {
            return new PeerProcess(endPoint, loop, ProcessChain.Role.SUCCESSOR, Handover.this);
        }

        @Override
        public void onFailed(Throwable cause) {
            // The peer has gone: it will start without our state.
        }
    }

    @Override
    public void onOpened(PeerProcess peer) {
        peer.send(MessageType.GREETING, dispatcherName);
        loop.schedule(
                PEER_TIMEOUT,
                () -> {
                    if (!peer.isGreeted()) {
                        peer.close();
                    }
                });
        if (peer.role() == ProcessChain.Role.PREDECESSOR) {
            sendOpenRequests(peer);
        }
    }

    private void sendOpenRequests(PeerProcess peer) {
        state.openRequestIds().forEach(id -> peer.send(MessageType.REQUEST_OPENED, id));
    }

    @Override
    public void onMessage(PeerProcess peer, HandoverMessage message) throws IOException {
        if (!peer.isGreeted()) {
            onGreeting(peer, message);
            return;
        }
        switch (message.type()) {
            case REQUEST_OPENED -> peer.openRequestIds().add(message.body());
            case REQUEST_CLOSED -> peer.openRequestIds().remove(message.body());
            case PROCESSES_BEHIND -> {
                chain.setBehind(peer.role(), number(message.body()));
                onChainChanged();
            }
            case SERVING -> {
                if (peer.role() == ProcessChain.Role.SUCCESSOR) {
                    chain.onSuccessorServes();
                    onChainChanged();
                }
            }
            case ENDPOINTS, LEARNED_STATE, TRANSFER_COMPLETE -> {
                if (peer.role() == ProcessChain.Role.PREDECESSOR) {
                    importState(message);
                }
            }
            case GREETING, UNKNOWN -> LOG.debug("ignored unexpected handover message: {}", message);
        }
    }

    private void onGreeting(PeerProcess peer, HandoverMessage message) throws IOException {
        // Two dispatchers' names may lead to one file's name; older versions send no name.
        if (message.type() != MessageType.GREETING
                || (!message.body().isEmpty() && !message.body().equals(dispatcherName))) {
            throw new IOException("not a process of this dispatcher");
        }
        peer.setGreeted();
        if (peer.role() == ProcessChain.Role.SUCCESSOR) {
            exportState(peer);
        }
        chain.join(peer.role());
        onChainChanged();
    }

    /** Sends a successor all state; the newest successor replaces an older one. */
    private void exportState(PeerProcess successor) {
        PeerProcess older = peers.get(ProcessChain.Role.SUCCESSOR);
        if (older != null) {
            older.close();
        }
        peers.put(ProcessChain.Role.SUCCESSOR, successor);
        String endpoints = state.exportEndpoints();
        if (endpoints != null) {
            successor.send(MessageType.ENDPOINTS, endpoints);
        }
        successor.send(MessageType.LEARNED_STATE, state.exportLearnedState());
        sendOpenRequests(successor);
        successor.send(MessageType.TRANSFER_COMPLETE);
        LOG.info("handover begins: successor process connected");
    }

    private void importState(HandoverMessage message) {
        if (!awaitsState) {
            // Too late: what this process has learned by now is newer.
            return;
        }
        byte[] body = message.body().getBytes(StandardCharsets.UTF_8);
        try {
            switch (message.type()) {
                case ENDPOINTS -> state.importEndpoints(body);
                case LEARNED_STATE -> state.importLearnedState(body);
                default -> finishTransfer();
            }
        } catch (IOException e) {
            // Perhaps of another version: the rest may do, and discovery and the workers will
            // supply it again.
            LOG.info("state of predecessor process not imported: {}", e.getMessage());
        }
    }

    private static int number(String text) throws IOException {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new IOException("no number: " + text);
        }
    }

    @Override
    public void onClosed(PeerProcess peer) {
        if (peers.remove(peer.role(), peer)) {
            boolean wasLast = peer.role() == ProcessChain.Role.SUCCESSOR && chain.isSuccessorLast();
            chain.leave(peer.role());
            onChainChanged();
            if (wasLast && serving) {
                // Its file may stand where ours stood.
                listen();
            }
        }
        finishTransfer();
    }

    private void onChainChanged() {
        peers.forEach((role, peer) -> peer.sendProcessesBehind(chain.countBehindThisFor(role)));
        listener.onProcessesChanged();
    }
}
