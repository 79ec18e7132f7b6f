package wheelroute.net.clients;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * What a client sent before its turn. It is read on, under two bounds, so that the client's end is
 * seen behind it: a client that leaves while its submission waits leaves more than one unread
 * message at times.
 */
final class PipelinedInput {
    /** What comes closer together than this has one time, the first. */
    private static final double TOGETHER = 0.05;

    /**
     * Times kept of one connection: what comes byte by byte must not take more room than its bytes.
     */
    private static final int MOST_TIMES = 64;

    /**
     * Some messages of the largest kind: past it what comes waits with the system, and so does its
     * end.
     */
    static final int MOST = 256 * 1024;

    private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

    /** Of all connections together. */
    private final MemoryQuota room;

    private ByteBuffer kept = NOTHING;

    /** Of all that came ahead, from the first byte on. */
    private long added;

    private final ArrayDeque<Arrival> times = new ArrayDeque<>();

    /** What came up to this byte came then. */
    private record Arrival(long end, double at) {}

    PipelinedInput(MemoryQuota room) {
        this.room = room;
    }

    boolean isEmpty() {
        return !kept.hasRemaining();
    }

    /** No more should be read than is kept already. */
    boolean isFull() {
        return kept.remaining() >= MOST || room.isFull();
    }

    /** Keeps all of it, also what one read brings over the bounds. */
    void add(ByteBuffer in, double cameAt) {
        added += in.remaining();
        Arrival last = times.peekLast();
        boolean joins = last != null && (cameAt - last.at < TOGETHER || times.size() >= MOST_TIMES);
        if (joins) {
            times.removeLast();
        }
        times.addLast(new Arrival(added, joins ? last.at : cameAt));
        int needed = kept.remaining() + in.remaining();
        if (kept.capacity() - kept.position() < needed) {
            ByteBuffer larger = ByteBuffer.allocate(Math.max(needed, Math.min(MOST, 2 * needed)));
            room.hold(larger.capacity() - kept.capacity());
            kept = larger.put(kept).flip();
        }
        kept.mark().position(kept.limit()).limit(kept.limit() + in.remaining());
        kept.put(in).reset();
    }

    /** To be read from its position on; what is left of it stays kept. */
    ByteBuffer kept() {
        return kept;
    }

    /**
     * When the byte before those that are left came: a message's last one, as that has been read.
     */
    double cameAt() {
        long read = added - kept.remaining();
        while (times.getFirst().end < read) {
            times.removeFirst();
        }
        return times.getFirst().at;
    }

    /** It is read, or will not be. */
    void release() {
        room.giveBack(kept.capacity());
        kept = NOTHING;
        times.clear();
    }
}
