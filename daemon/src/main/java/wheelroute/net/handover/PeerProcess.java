package wheelroute.net.handover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
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

    /** Maximum time in which a peer has to read enough for what waits to be sent to it. */
    private static final double MAX_SEND_SECONDS = 1;

    private static final int AVAILABLE_BYTES = 4 * 1024;

    /** A task that waits until so many bytes have been sent. */
    private record SendWaiter(long threshold, Runnable task) {}

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
    private final Set<String> openKeys = new HashSet<>();
    private final ArrayDeque<SendWaiter> sendWaiters = new ArrayDeque<>();

    /** Filled outside of the event loop's reads, in which its buffers may be in use. */
    private final ByteBuffer availableBytes = BufferUtil.allocate(AVAILABLE_BYTES);

    private boolean greeted;
    private long queuedBytes;
    private long sentBytes;
    private boolean sending;

    /** Whether the next message is being passed to the operating system. */
    private boolean writing;

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

    /**
     * Returns the identities of the peer's open requests that must not run twice, which the
     * listener maintains.
     */
    Set<String> openKeys() {
        return openKeys;
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
        queuedBytes += bytes.length;
        if (queuedBytes - sentBytes > MAX_UNSENT_BYTES) {
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
        while (!sending && !unsent.isEmpty() && !closed) {
            sending = true;
            ByteBuffer next = unsent.poll();
            int length = next.remaining();
            writing = true;
            getEndPoint()
                    .write(
                            Callback.from(() -> onSent(length), cause -> loop.post(this::close)),
                            next);
            writing = false;
        }
    }

    /** Called within the write if the operating system took the bytes at once. */
    private void onSent(int length) {
        sending = false;
        sentBytes += length;
        while (!sendWaiters.isEmpty() && sendWaiters.peek().threshold <= sentBytes) {
            loop.post(sendWaiters.poll().task);
        }
        if (!writing) {
            sendNext();
        }
    }

    /**
     * Runs a task once the operating system has all that was sent until now, or the connection is
     * closed; possibly before this method returns. A peer that does not read for a long time is
     * disconnected, because the task must not wait for it any longer.
     */
    void afterSending(Runnable task) {
        if (closed || sentBytes == queuedBytes) {
            task.run();
            return;
        }
        long threshold = queuedBytes;
        sendWaiters.add(new SendWaiter(threshold, task));
        loop.schedule(
                MAX_SEND_SECONDS,
                () -> {
                    if (sentBytes < threshold) {
                        close();
                    }
                });
    }

    /** Handles the messages that have arrived and were not read yet. */
    void readAvailable() {
        try {
            while (!closed && getEndPoint().isOpen()) {
                BufferUtil.clear(availableBytes);
                if (getEndPoint().fill(availableBytes) <= 0) {
                    return;
                }
                onBytes(availableBytes);
            }
        } catch (IOException e) {
            onFailure(e);
        }
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
            sendWaiters.forEach(waiter -> loop.post(waiter.task));
            sendWaiters.clear();
            listener.onClosed(this);
        }
    }
}
