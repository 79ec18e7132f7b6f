package wheelroute.net.handover;

import java.io.IOException;
import java.util.Iterator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.net.loop.EventLoop;

/**
 * Handles the messages of the predecessor and the successor process: checks their greetings, tracks
 * their open requests and process counts, and exports the state of this process to a successor.
 * Confined to the event loop's thread.
 */
final class PeerMessageHandler implements PeerProcess.Listener {
    /**
     * Maximum time from the connection to the greeting of a peer, after which the peer is
     * disconnected.
     */
    private static final double GREETING_TIMEOUT_SECONDS = 0.5;

    private static final Logger LOG = LoggerFactory.getLogger(PeerMessageHandler.class);

    private final EventLoop loop;
    private final String dispatcherName;
    private final TransferableState state;
    private final PeerProcesses peers;
    private final StateImport stateImport;
    private final Runnable onLastSuccessorLeft;

    /**
     * Creates a handler for the peers of one process.
     *
     * @param onLastSuccessorLeft run when the successor has left and was the last process of the
     *     chain, so that this process is the last one again
     */
    PeerMessageHandler(
            EventLoop loop,
            String dispatcherName,
            TransferableState state,
            PeerProcesses peers,
            StateImport stateImport,
            Runnable onLastSuccessorLeft) {
        this.loop = loop;
        this.dispatcherName = dispatcherName;
        this.state = state;
        this.peers = peers;
        this.stateImport = stateImport;
        this.onLastSuccessorLeft = onLastSuccessorLeft;
    }

    @Override
    public void onOpened(PeerProcess peer) {
        peer.send(MessageType.GREETING, dispatcherName);
        loop.schedule(
                GREETING_TIMEOUT_SECONDS,
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
        state.openKeys().forEach(identity -> peer.send(MessageType.KEY_OPENED, identity));
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
            case KEY_OPENED, KEY_CLOSED, ATTEMPT_STARTING, NEVER_RAN ->
                    onAtMostOnceMessage(peer, message);
            case ATTEMPT_HISTORY -> importAttemptHistory(peer, message.body());
            case PROCESSES_BEHIND -> peers.setProcessesBehind(peer, parseCount(message.body()));
            case SERVING -> {
                if (peer.role() == ProcessChain.Role.SUCCESSOR) {
                    peers.onSuccessorServing();
                }
            }
            case ENDPOINTS, LEARNED_STATE, TRANSFER_COMPLETE -> {
                if (peer.role() == ProcessChain.Role.PREDECESSOR) {
                    stateImport.onMessage(message);
                }
            }
            case GREETING, ATTEMPTS_ENDED, UNKNOWN ->
                    LOG.debug("ignored unexpected handover message: {}", message);
        }
    }

    /** Handles a message about a request that must not run twice, which all processes must know. */
    private void onAtMostOnceMessage(PeerProcess peer, HandoverMessage message) throws IOException {
        switch (message.type()) {
            case KEY_OPENED -> peer.openKeys().add(message.body());
            case KEY_CLOSED -> peer.openKeys().remove(message.body());
            case ATTEMPT_STARTING -> state.importAttempt(message.body());
            default -> state.importNeverRan(message.body());
        }
        peers.forward(peer, message.type(), message.body());
    }

    private void importAttemptHistory(PeerProcess peer, String line) {
        if (peer.role() != ProcessChain.Role.PREDECESSOR) {
            return;
        }
        try {
            state.importAttemptHistory(line);
            stateImport.onPartImported();
        } catch (IOException e) {
            LOG.warn("attempt history of predecessor process not imported: {}", e.getMessage());
        }
    }

    private void onGreeting(PeerProcess peer, HandoverMessage message)
            throws HandoverProtocolException {
        // The name is compared because socket files of two dispatchers may have the same name.
        // Older versions send no name.
        if (message.type() != MessageType.GREETING
                || (!message.body().isEmpty() && !message.body().equals(dispatcherName))) {
            throw new HandoverProtocolException(
                    "first message is not the greeting of a process of this dispatcher");
        }
        peer.setGreeted();
        if (peer.role() == ProcessChain.Role.SUCCESSOR) {
            replaceSuccessor(peer);
            exportState(peer);
        }
        peers.join(peer);
    }

    private void replaceSuccessor(PeerProcess successor) {
        PeerProcess older = peers.get(ProcessChain.Role.SUCCESSOR);
        if (older != null) {
            older.close();
        }
        peers.put(successor);
    }

    private void exportState(PeerProcess successor) {
        String endpoints = state.exportEndpoints();
        if (endpoints != null) {
            successor.send(MessageType.ENDPOINTS, endpoints);
        }
        successor.send(MessageType.LEARNED_STATE, state.exportLearnedState());
        sendOpenRequests(successor);
        exportAttemptHistory(successor, state.exportAttemptHistory());
        LOG.info("handover begins: successor process connected");
    }

    /**
     * Sends one line after the other, as there may be more of them than a peer may leave unread.
     */
    private void exportAttemptHistory(PeerProcess successor, Iterator<String> lines) {
        if (lines.hasNext()) {
            successor.send(MessageType.ATTEMPT_HISTORY, lines.next());
            successor.afterSending(() -> exportAttemptHistory(successor, lines));
        } else {
            successor.send(MessageType.TRANSFER_COMPLETE);
        }
    }

    private static int parseCount(String text) throws HandoverProtocolException {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new HandoverProtocolException("expected a number of processes, got: " + text, e);
        }
    }

    @Override
    public void onClosed(PeerProcess peer) {
        peer.openKeys().forEach(identity -> peers.forward(peer, MessageType.KEY_CLOSED, identity));
        boolean wasLast = peer.role() == ProcessChain.Role.SUCCESSOR && peers.isSuccessorLast();
        if (peers.remove(peer) && wasLast) {
            onLastSuccessorLeft.run();
        }
        stateImport.finish();
    }
}
