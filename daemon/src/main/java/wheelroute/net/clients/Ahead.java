package wheelroute.net.clients;

import java.nio.ByteBuffer;

/**
 * What a client sent before its turn. It is read on, under two bounds, so that the client's end is seen
 * behind it: a client that leaves while its submission waits leaves more than one unread message at times.
 */
final class Ahead {
    /** Some messages of the largest kind: past it what comes waits with the system, and so does its end. */
    static final int MOST = 256 * 1024;
    private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

    /** Of all connections together. */
    private final Room room;
    private ByteBuffer kept = NOTHING;

    Ahead(Room room) {
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
    void add(ByteBuffer in) {
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

    /** It is read, or will not be. */
    void release() {
        room.giveBack(kept.capacity());
        kept = NOTHING;
    }
}
