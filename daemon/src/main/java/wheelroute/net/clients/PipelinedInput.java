package wheelroute.net.clients;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * Buffers the input that arrives on a connection before the previous request has been answered. It
 * is read early to notice the end of the stream after it, which means that the client is gone.
 * There is a limit for each connection, and a quota for all of them. The buffer also keeps the
 * times of arrival, when the timeouts of the requests in it start.
 *
 * <p>Used on the event loop's thread only.
 */
final class PipelinedInput {
    /** Input that arrives within this time of the last recorded arrival is recorded with it. */
    private static final double MIN_ARRIVAL_INTERVAL_SECONDS = 0.05;

    /** Bound on the arrivals recorded, so that small pieces do not need much memory for them. */
    private static final int MAX_ARRIVALS = 64;

    /** A few messages of the maximum size. Further input is not read from the system. */
    static final int MAX_BYTES = 256 * 1024;

    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    /** Shared by all connections. */
    private final MemoryQuota quota;

    private ByteBuffer buffer = EMPTY;

    /** Number of all bytes added since the connection was opened. */
    private long addedBytes;

    private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();

    /**
     * The arrival of a piece of input.
     *
     * @param end value of {@link #addedBytes} after it
     * @param at when it arrived
     */
    private record Arrival(long end, double at) {}

    PipelinedInput(MemoryQuota quota) {
        this.quota = quota;
    }

    boolean isEmpty() {
        return !buffer.hasRemaining();
    }

    /** Whether further input should not be read for now. */
    boolean isFull() {
        return buffer.remaining() >= MAX_BYTES || quota.isFull();
    }

    /** Adds all bytes, even if they exceed the limits. */
    void add(ByteBuffer in, double arrivedAt) {
        recordArrival(in.remaining(), arrivedAt);
        append(in);
    }

    private void recordArrival(int bytes, double arrivedAt) {
        addedBytes += bytes;
        Arrival last = arrivals.peekLast();
        boolean isMerged =
                last != null
                        && (arrivedAt - last.at < MIN_ARRIVAL_INTERVAL_SECONDS
                                || arrivals.size() >= MAX_ARRIVALS);
        if (isMerged) {
            arrivals.removeLast();
        }
        arrivals.addLast(new Arrival(addedBytes, isMerged ? last.at : arrivedAt));
    }

    private void append(ByteBuffer in) {
        int needed = buffer.remaining() + in.remaining();
        if (buffer.capacity() - buffer.position() < needed) {
            ByteBuffer larger =
                    ByteBuffer.allocate(Math.max(needed, Math.min(MAX_BYTES, 2 * needed)));
            quota.reserve(larger.capacity() - buffer.capacity());
            buffer = larger.put(buffer).flip();
        }
        buffer.mark().position(buffer.limit()).limit(buffer.limit() + in.remaining());
        buffer.put(in).reset();
    }

    /** Returns the buffered bytes, to be consumed from the buffer itself. */
    ByteBuffer buffered() {
        return buffer;
    }

    /** Returns when the last consumed byte arrived: after decoding, the last one of the message. */
    double arrivedAt() {
        long consumedBytes = addedBytes - buffer.remaining();
        while (arrivals.getFirst().end < consumedBytes) {
            arrivals.removeFirst();
        }
        return arrivals.getFirst().at;
    }

    /** Drops all input and returns its memory to the quota. */
    void release() {
        quota.release(buffer.capacity());
        buffer = EMPTY;
        arrivals.clear();
    }
}
