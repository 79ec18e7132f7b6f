package wheelroute.net.memory;

/**
 * Limits the memory that one kind of data occupies on all connections together. Used on the event
 * loop's thread only.
 */
public final class MemoryQuota {
    private final long limitBytes;
    private long reservedBytes;

    /**
     * Creates a quota without any reservations.
     *
     * @param limitBytes the maximum number of reserved bytes, which only {@link #reserve} exceeds
     */
    public MemoryQuota(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns whether so many more bytes can be reserved without exceeding the limit. */
    public boolean hasRoomFor(int bytes) {
        return reservedBytes + bytes <= limitBytes;
    }

    /** Reserves bytes unless that would exceed the limit; returns whether they were reserved. */
    public boolean tryReserve(int bytes) {
        boolean fits = hasRoomFor(bytes);
        reservedBytes += fits ? bytes : 0;
        return fits;
    }

    /** Reserves bytes even over the limit, since they are for input that was already read. */
    public void reserve(int bytes) {
        reservedBytes += bytes;
    }

    /** Returns reserved bytes to the quota. */
    public void release(int bytes) {
        reservedBytes -= bytes;
    }
}
