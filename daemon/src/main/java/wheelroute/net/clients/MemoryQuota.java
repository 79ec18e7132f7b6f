package wheelroute.net.clients;

/**
 * A limit on the bytes that all clients' messages may occupy at one time. Only for the event loop's
 * thread.
 */
public final class MemoryQuota {
    private final long limit;
    private long used;

    /**
     * Begins empty.
     *
     * @param limit in bytes
     */
    public MemoryQuota(long limit) {
        this.limit = limit;
    }

    /** Reserves so many bytes; false, without effect, when there are not enough. */
    boolean tryReserve(int bytes) {
        boolean fits = used + bytes <= limit;
        used += fits ? bytes : 0;
        return fits;
    }

    /** Reserves bytes that have arrived already, even over the limit. */
    void reserve(int bytes) {
        used += bytes;
    }

    boolean isFull() {
        return used >= limit;
    }

    void release(int bytes) {
        used -= bytes;
    }
}
