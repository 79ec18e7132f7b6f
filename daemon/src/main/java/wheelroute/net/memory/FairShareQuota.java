package wheelroute.net.memory;

/**
 * Limits the memory of many buffers together, so that a few large ones cannot exclude the others:
 * half of it is for whoever comes first, and of the other half each buffer has an equal share.
 *
 * <p>Used on the event loop's thread only.
 */
public final class FairShareQuota {
    private final long halfBytes;
    private long reservedBytes;
    private int buffers;

    /**
     * Creates a quota without any buffers.
     *
     * @param limitBytes the maximum number of bytes, which buffers exceed by at most what they
     *     reserve at once
     */
    public FairShareQuota(long limitBytes) {
        halfBytes = limitBytes / 2;
    }

    /** Counts one more buffer, which has no memory yet. */
    public void addBuffer() {
        buffers++;
    }

    /** Removes a buffer together with its memory. */
    public void removeBuffer(int reserved) {
        buffers--;
        reservedBytes -= reserved;
    }

    /** Reserves memory for a buffer. The caller asks {@link #isExhaustedFor} first. */
    public void reserve(int bytes) {
        reservedBytes += bytes;
    }

    /** Whether only shares are left, so that buffers should reserve no more than they need. */
    public boolean isScarce() {
        return reservedBytes >= halfBytes;
    }

    /** Whether a buffer with so many bytes has used up its share and nothing else is left. */
    public boolean isExhaustedFor(int bufferedBytes) {
        return isScarce() && bufferedBytes >= halfBytes / Math.max(1, buffers);
    }

    /** Returns the number of reserved bytes. */
    public long reservedBytes() {
        return reservedBytes;
    }
}
