package wheelroute.net.clients;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import wheelroute.net.memory.FairShareQuota;

/**
 * Buffers the input that arrives on a connection before the previous request has been answered.
 * Such input is read early because the end of the stream behind it shows that the client has
 * disconnected. Each connection has a limit, and all connections share a quota, of which each has a
 * share whatever the others hold. The buffer also records when its input arrived, because the
 * timeouts of the requests in it start then.
 *
 * <p>While the buffer is full, input normally stays unread. Where it must be read nevertheless, to
 * find the end of the stream, it is discarded, and so is all that follows it.
 *
 * <p>Used on the event loop's thread only.
 */
final class PipelinedInput {
    /** Input that arrives within this time after the last recorded arrival is merged with it. */
    private static final double MIN_ARRIVAL_INTERVAL_SECONDS = 0.05;

    /** Maximum number of recorded arrivals, which limits the memory for many small pieces. */
    private static final int MAX_ARRIVALS = 64;

    /** A few messages of the maximum size. */
    static final int MAX_BYTES = 256 * 1024;

    private static final int RESUME_READING_BYTES = MAX_BYTES / 2;

    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    /** Limits the buffers of all connections together. */
    private final FairShareQuota quota;

    private ByteBuffer buffer = EMPTY;

    /** The total number of bytes added since the connection was opened. */
    private long addedBytes;

    /** Whether input was discarded behind the buffered input. */
    private boolean hasGap;

    private boolean isReadingPaused;

    private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();

    /**
     * The arrival of a piece of input.
     *
     * @param end the value of {@link #addedBytes} after the piece was added
     * @param at the Unix time in seconds at which the piece arrived
     */
    private record Arrival(long end, double at) {}

    PipelinedInput(FairShareQuota quota) {
        this.quota = quota;
    }

    boolean isEmpty() {
        return !buffer.hasRemaining();
    }

    /** Whether there is no room for further input. */
    boolean isFull() {
        return hasGap
                || buffer.remaining() >= MAX_BYTES
                || quota.isExhaustedFor(buffer.remaining());
    }

    /**
     * Whether reading should pause: from when there is no room until half of a full buffer has been
     * consumed. Refilling it for each consumed message would move its whole content each time.
     */
    boolean isReadingPaused() {
        isReadingPaused =
                isFull() || (isReadingPaused && buffer.remaining() > RESUME_READING_BYTES);
        return isReadingPaused;
    }

    /** Whether little should be read at once, because the memory of all connections is used up. */
    boolean isMemoryScarce() {
        return quota.isScarce();
    }

    /** Whether input was discarded, so that no message can follow the buffered ones. */
    boolean hasGap() {
        return hasGap;
    }

    /** Adds all bytes of the input, even if they exceed a limit; discards them if it is reached. */
    void add(ByteBuffer in, double arrivedAt) {
        if (isFull()) {
            hasGap = true;
            in.position(in.limit());
            return;
        }
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
        if (buffer.capacity() >= needed && buffer.capacity() - buffer.position() < needed) {
            buffer.compact().flip();
        } else if (buffer.capacity() < needed) {
            int spare = isMemoryScarce() ? 0 : Math.min(needed, Math.max(0, MAX_BYTES - needed));
            ByteBuffer larger = ByteBuffer.allocate(needed + spare);
            quota.reserve(buffer.capacity(), larger.capacity() - buffer.capacity());
            buffer = larger.put(buffer).flip();
        }
        buffer.mark().position(buffer.limit()).limit(buffer.limit() + in.remaining());
        buffer.put(in).reset();
    }

    /** Returns the buffer itself, from which the caller consumes bytes by reading them. */
    ByteBuffer buffered() {
        return buffer;
    }

    /**
     * Returns the Unix time in seconds at which the last consumed byte arrived. Right after a
     * message was decoded, this is the last byte of the message.
     */
    double arrivedAt() {
        long consumedBytes = addedBytes - buffer.remaining();
        while (arrivals.getFirst().end < consumedBytes) {
            arrivals.removeFirst();
        }
        return arrivals.getFirst().at;
    }

    /** Discards all input and returns the memory of the buffer to the quota. */
    void release() {
        quota.release(buffer.capacity());
        buffer = EMPTY;
        arrivals.clear();
    }
}
