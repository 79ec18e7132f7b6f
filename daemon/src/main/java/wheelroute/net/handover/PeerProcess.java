package wheelroute.net.handover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.loop.LineBuffer;
import wheelroute.net.loop.StreamConnection;

/**
 * A connection to the predecessor or the successor process, on which each line is a message.
 * Confined to the event loop's thread.
 */
final class PeerProcess extends StreamConnection {
    /** Maximum length of a message, which may contain a complete endpoint list. */
    private static final int MAX_LINE_BYTES = 1 << 20;

    /**
     * Maximum number of unsent bytes. A peer that does not read is disconnected beyond it, so that
     * the memory is bounded.
     */
    private static final int MAX_UNSENT_BYTES = 2 * MAX_LINE_BYTES;

    /** Receives the events of a connection to a peer. */
    interface Listener {
        /** Called when the connection is established and nothing has been sent or received. */
        void onOpened(PeerProcess peer);

        /**
         * Called when a message has been received.
         *
         * @throws IOException if the message violates the protocol; the connection is then closed
         */
        void onMessage(PeerProcess peer, HandoverMessage message) throws IOException;

        /** Called once when either side has closed the connection. */
        void onClosed(PeerProcess peer);
    }

    private final ProcessChain.Role role;
    private final Listener listener;
    private final LineBuffer lines = new LineBuffer(MAX_LINE_BYTES);
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
    private final Set<String> openRequestIds = new HashSet<>();
    private boolean greeted;
    private long unsentBytes;
    private boolean sending;
    private boolean closed;

    /** The last count sent to the peer. A peer that has received no count assumes 0. */
    private int lastSentBehind;

    PeerProcess(EndPoint endPoint, EventLoop loop, ProcessChain.Role role, Listener listener) {
        super(endPoint, loop);
        this.role = role;
        this.listener = listener;
    }

    /** Returns the position of the peer relative to this process. */
    ProcessChain.Role role() {
        return role;
    }

    /** Returns the client-given ids of the peer's open requests, which the listener maintains. */
    Set<String> openRequestIds() {
        return openRequestIds;
    }

    /** Returns whether the peer has identified itself as a process of this dispatcher. */
    boolean isGreeted() {
        return greeted;
    }

    void setGreeted() {
        greeted = true;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        listener.onOpened(this);
    }

    void send(MessageType type) {
        send(type, "");
    }

    void send(MessageType type, String body) {
        byte[] bytes = new HandoverMessage(type, body).encode().getBytes(StandardCharsets.UTF_8);
        unsent.add(ByteBuffer.wrap(bytes));
        unsentBytes += bytes.length;
        if (unsentBytes > MAX_UNSENT_BYTES) {
            close();
        } else {
            sendNext();
        }
    }

    /**
     * Sends the number of processes behind this one, if the number has changed. A peer reacts to a
     * count by sending its own, so two peers that repeated unchanged counts would never stop.
     */
    void sendProcessesBehind(int count) {
        if (count != lastSentBehind) {
            lastSentBehind = count;
            send(MessageType.PROCESSES_BEHIND, Integer.toString(count));
        }
    }

    private void sendNext() {
        if (sending || unsent.isEmpty() || closed) {
            return;
        }
        sending = true;
        ByteBuffer next = unsent.poll();
        int length = next.remaining();
        Callback written =
                Callback.from(
                        () -> loop.post(() -> onSent(length)), cause -> loop.post(this::close));
        getEndPoint().write(written, next);
    }

    private void onSent(int length) {
        sending = false;
        unsentBytes -= length;
        sendNext();
    }

    @Override
    protected void onBytes(ByteBuffer in) throws IOException {
        for (byte[] line = lines.next(in); line != null && !closed; line = lines.next(in)) {
            String text = new String(line, StandardCharsets.UTF_8);
            listener.onMessage(this, HandoverMessage.decode(text));
        }
    }

    @Override
    protected void onEndOfStream() {
        close();
    }

    @Override
    protected void onFailure(Throwable cause) {
        close();
    }

    @Override
    public void close() {
        super.close();
        markClosed();
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        markClosed();
    }

    private void markClosed() {
        if (!closed) {
            closed = true;
            unsent.clear();
            listener.onClosed(this);
        }
    }
}
