package wheelroute.kit.faults;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.eclipse.jetty.util.Callback;
import wheelroute.net.loop.EventLoop;

/**
 * One direction of a relayed connection: bytes that were read but not written yet, in order. The
 * link's state determines when they may be written.
 */
final class RelayDirection {
    /** Bytes that are held before reading is suspended, as the buffers of a socket would do it. */
    private static final int MAX_BUFFERED_BYTES = 1 << 20;

    private final Relay relay;
    private final boolean isFromNear;
    private final ArrayDeque<Chunk> queue = new ArrayDeque<>();

    /** Null until the target has accepted the connection. */
    private RelayedConnection.Side receiver;

    private int bufferedBytes;
    private boolean isWriting;
    private boolean hasSenderEnded;
    private boolean isEndForwarded;

    /** Runs when the first chunk is due; null while it is not scheduled. */
    private EventLoop.Timer timer;

    /** When the last chunk is due: no later chunk arrives before it. */
    private double lastDueAt = Double.NEGATIVE_INFINITY;

    /** Bytes that were read together. */
    private record Chunk(ByteBuffer bytes, int size, double dueAt, RelayedConnection.Side sender) {}

    RelayDirection(Relay relay, boolean isFromNear) {
        this.relay = relay;
        this.isFromNear = isFromNear;
    }

    void setReceiver(RelayedConnection.Side side) {
        receiver = side;
    }

    boolean isFull() {
        return bufferedBytes > MAX_BUFFERED_BYTES;
    }

    /** Whether the sender's end of stream was forwarded. */
    boolean isComplete() {
        return isEndForwarded;
    }

    /** Takes over bytes that the sender has written. */
    void add(ByteBuffer in, RelayedConnection.Side sender) {
        ByteBuffer copy = ByteBuffer.allocate(in.remaining());
        copy.put(in).flip();
        enqueue(copy, sender);
        forward();
    }

    private void enqueue(ByteBuffer bytes, RelayedConnection.Side sender) {
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

    /** The sender has closed its connection; what a partition holds back is lost with it. */
    void end(RelayedConnection.Side sender) {
        hasSenderEnded = true;
        if (!relay.isOpen(isFromNear)) {
            queue.forEach(chunk -> bufferedBytes -= chunk.size);
            queue.clear();
        }
        enqueue(ByteBuffer.allocate(0), sender);
        forward();
    }

    /** Writes the first chunk if it is due; the next follows when that is done. */
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
        chunk.sender.resumeReading();
        forward();
    }
}
