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

/** The connection to the predecessor or successor process: lines in both directions. */
final class PeerProcess extends StreamConnection {
    /** In bytes: as long as the longest endpoint list. */
    private static final int MAX_LINE = 1 << 20;

    /** With more bytes unsent the peer is stuck: it must not fill this process's memory. */
    private static final int MAX_UNSENT = 2 * MAX_LINE;

    /** Hears what happens on the connection. */
    interface Listener {
        /** The connection is made; nothing has been sent or received. */
        void onOpened(PeerProcess peer);

        /**
         * A message has come.
         *
         * @throws IOException if it is not acceptable; the connection is closed
         */
        void onMessage(PeerProcess peer, HandoverMessage message) throws IOException;

        /** The connection is closed, whoever closed it; comes once. */
        void onClosed(PeerProcess peer);
    }

    private final ProcessChain.Role role;
    private final Listener listener;
    private final LineBuffer lines = new LineBuffer(MAX_LINE);
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
    private final Set<String> openRequestIds = new HashSet<>();
    private boolean greeted;
    private long unsentBytes;
    private boolean sending;
    private boolean closed;

    /** The last count that was sent; a peer that was sent none assumes 0. */
    private int sentBehind;

    PeerProcess(EndPoint endPoint, EventLoop loop, ProcessChain.Role role, Listener listener) {
        super(endPoint, loop);
        this.role = role;
        this.listener = listener;
    }

    /** What this peer is to our process. */
    ProcessChain.Role role() {
        return role;
    }

    /** The clients' ids of the requests that are open there; the listener keeps them up to date. */
    Set<String> openRequestIds() {
        return openRequestIds;
    }

    /** Whether the peer has shown that it is a process of this dispatcher. */
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
        if (unsentBytes > MAX_UNSENT) {
            close();
        } else {
            sendNext();
        }
    }

    /**
     * Sends the count only when it has changed: else two peers would answer each other for ever.
     */
    void sendProcessesBehind(int count) {
        if (count != sentBehind) {
            sentBehind = count;
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
