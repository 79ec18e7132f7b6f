package wheelroute.net.clients;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * What a client has sent ahead, while its previous request awaits its response. It is read, within
 * two limits, so that the end of the stream behind it is noticed when the client leaves. Keeps the
 * arrival times, from which timeouts count.
 */
final class PipelinedInput {
    /** What arrives closer together than this, in seconds, shares the first arrival time. */
    private static final double SAME_ARRIVAL = 0.05;

    /** Arrival times of one connection: they must not occupy more memory than the bytes. */
    private static final int MAX_ARRIVALS = 64;

    /** In bytes: some messages of the largest size. What exceeds it waits with the system. */
    static final int MAX_BYTES = 256 * 1024;

    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    /** Shared by all connections. */
    private final MemoryQuota quota;

    private ByteBuffer kept = EMPTY;

    /** Bytes that have been added since the connection was made. */
    private long added;

    private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();

    /** The bytes before the end, counted like {@link #added}, have arrived at this time. */
    private record Arrival(long end, double at) {}

    PipelinedInput(MemoryQuota quota) {
        this.quota = quota;
    }

    boolean isEmpty() {
        return !kept.hasRemaining();
    }

    /** Whether no more should be read for now. */
    boolean isFull() {
        return kept.remaining() >= MAX_BYTES || quota.isFull();
    }

    /** Keeps all of the bytes, also those of one read over the limits. */
    void add(ByteBuffer in, double arrivedAt) {
        added += in.remaining();
        Arrival last = arrivals.peekLast();
        boolean sharesTime =
                last != null
                        && (arrivedAt - last.at < SAME_ARRIVAL || arrivals.size() >= MAX_ARRIVALS);
        if (sharesTime) {
            arrivals.removeLast();
        }
        arrivals.addLast(new Arrival(added, sharesTime ? last.at : arrivedAt));
        int needed = kept.remaining() + in.remaining();
        if (kept.capacity() - kept.position() < needed) {
            ByteBuffer larger =
                    ByteBuffer.allocate(Math.max(needed, Math.min(MAX_BYTES, 2 * needed)));
            quota.reserve(larger.capacity() - kept.capacity());
            kept = larger.put(kept).flip();
        }
        kept.mark().position(kept.limit()).limit(kept.limit() + in.remaining());
        kept.put(in).reset();
    }

    /** The bytes to be read; what is not read stays kept. */
    ByteBuffer kept() {
        return kept;
    }

    /** When the last byte that has been read arrived: the last of a message, after its decoding. */
    double arrivedAt() {
        long bytesRead = added - kept.remaining();
        while (arrivals.getFirst().end < bytesRead) {
            arrivals.removeFirst();
        }
        return arrivals.getFirst().at;
    }

    /** Drops everything. */
    void release() {
        quota.release(kept.capacity());
        kept = EMPTY;
        arrivals.clear();
    }
}
