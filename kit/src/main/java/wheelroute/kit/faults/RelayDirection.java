package wheelroute.kit.faults;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.eclipse.jetty.util.Callback;
import wheelroute.net.loop.EventLoop;

/**
 * Buffers one direction of a relayed connection: the bytes that were read but not written yet, in
 * order. The link's state determines when the bytes may be written.
 */
final class RelayDirection {
    /** Buffered bytes beyond which reading is suspended, as full socket buffers would do. */
    private static final int MAX_BUFFERED_BYTES = 1 << 20;

    private final Relay relay;
    private final boolean isFromNear;
    private final ArrayDeque<Chunk> queue = new ArrayDeque<>();

    /** End to which the bytes are written; null until the target has accepted the connection. */
    private RelayedConnection.EndConnection receiver;

    private int bufferedBytes;
    private boolean isWriting;
    private boolean hasSenderEnded;
    private boolean isEndForwarded;

    /** Timer that forwards the first chunk when it is due; null while none is scheduled. */
    private EventLoop.Timer timer;

    /** Time at which the last queued chunk is due; no later chunk becomes due earlier. */
    private double lastDueAt = Double.NEGATIVE_INFINITY;

    /** Bytes that were read in one call and are forwarded together. */
    private record Chunk(
            ByteBuffer bytes, int size, double dueAt, RelayedConnection.EndConnection sender) {}

    RelayDirection(Relay relay, boolean isFromNear) {
        this.relay = relay;
        this.isFromNear = isFromNear;
    }

    void setReceiver(RelayedConnection.EndConnection side) {
        receiver = side;
    }

    boolean isFull() {
        return bufferedBytes > MAX_BUFFERED_BYTES;
    }

    /** Returns whether the sender's end of stream has been forwarded. */
    boolean isComplete() {
        return isEndForwarded;
    }

    /** Buffers a copy of bytes that the sender has written. */
    void add(ByteBuffer in, RelayedConnection.EndConnection sender) {
        ByteBuffer copy = ByteBuffer.allocate(in.remaining());
        copy.put(in).flip();
        enqueue(copy, sender);
        forward();
    }

    private void enqueue(ByteBuffer bytes, RelayedConnection.EndConnection sender) {
        int size = bytes.remaining();
        bufferedBytes += size;
        queue.addLast(new Chunk(bytes, size, dueAt(size), sender));
    }

    private double dueAt(int size) {
        lastDueAt =
                Math.max(lastDueAt, relay.loop().now() + relay.drawDelaySeconds())
                        + size / relay.state().bytesPerSecond();
        return lastDueAt;
    }

    /**
     * Queues the end of the stream because the sender has closed its connection. Bytes that are
     * held back by a partition are lost.
     */
    void end(RelayedConnection.EndConnection sender) {
        hasSenderEnded = true;
        if (!relay.isOpen(isFromNear)) {
            queue.forEach(chunk -> bufferedBytes -= chunk.size);
            queue.clear();
        }
        enqueue(ByteBuffer.allocate(0), sender);
        forward();
    }

    /** Writes the first chunk if it is due; the next chunk follows when the write has completed. */
    void forward() {
        if (isWriting || !relay.isOpen(isFromNear) || receiver == null || queue.isEmpty()) {
            return;
        }
        double waitSeconds = queue.peekFirst().dueAt - relay.loop().now();
        if (waitSeconds > 0) {
            forwardLater(waitSeconds);
            return;
        }
        Chunk first = queue.pollFirst();
        if (hasSenderEnded && queue.isEmpty()) {
            isEndForwarded = true;
            receiver.getEndPoint().shutdownOutput();
            first.sender.connection().closeIfComplete();
        } else {
            write(first);
        }
    }

    private void forwardLater(double waitSeconds) {
        if (timer == null) {
            timer =
                    relay.loop()
                            .schedule(
                                    waitSeconds,
                                    () -> {
                                        timer = null;
                                        forward();
                                    });
        }
    }

    private void write(Chunk chunk) {
        isWriting = true;
        RelayedConnection connection = chunk.sender.connection();
        receiver.getEndPoint()
                .write(
                        Callback.from(
                                () -> relay.loop().post(() -> onWritten(chunk)),
                                cause -> relay.loop().post(connection::reset)),
                        chunk.bytes);
    }

    private void onWritten(Chunk chunk) {
        isWriting = false;
        bufferedBytes -= chunk.size;
        chunk.sender.resumeSuspendedReading();
        forward();
    }
}
