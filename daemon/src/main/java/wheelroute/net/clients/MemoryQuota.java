package wheelroute.net.clients;

/**
 * A limit on the memory that messages of all clients may occupy together. Used on the event loop's
 * thread only.
 */
public final class MemoryQuota {
    private final long limitBytes;
    private long reservedBytes;

    /**
     * Creates a quota of which nothing is reserved.
     *
     * @param limitBytes maximum number of bytes
     */
    public MemoryQuota(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Reserves bytes, unless that would exceed the limit; returns whether it has reserved them. */
    boolean tryReserve(int bytes) {
        boolean fits = reservedBytes + bytes <= limitBytes;
        reservedBytes += fits ? bytes : 0;
        return fits;
    }

    /** Reserves bytes even if that exceeds the limit, for input that has already been read. */
    void reserve(int bytes) {
        reservedBytes += bytes;
    }

    /** Whether the limit is reached. */
    boolean isFull() {
        return reservedBytes >= limitBytes;
    }

    /** Returns reserved bytes to the quota. */
    void release(int bytes) {
        reservedBytes -= bytes;
    }
}
