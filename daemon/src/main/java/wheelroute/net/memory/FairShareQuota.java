package wheelroute.net.memory;

/**
 * Limits the memory of many holders together, so that a few large ones cannot exclude the others.
 * One half is divided into shares, one for each holder that there can be, which no other holder can
 * use. The other half is common: it is for what holders need beyond their shares, first come, first
 * served.
 *
 * <p>A holder keeps count of what it holds, and passes it to each call. Used on the event loop's
 * thread only.
 */
public final class FairShareQuota {
    private final long commonLimitBytes;
    private final long shareBytes;
    private long commonBytes;
    private long reservedBytes;

    /**
     * Creates a quota without any reservations.
     *
     * @param limitBytes the maximum number of bytes, which only {@link #reserve} exceeds
     * @param maxHolders the number of holders that there can be at the same time
     */
    public FairShareQuota(long limitBytes, int maxHolders) {
        commonLimitBytes = limitBytes / 2;
        shareBytes = (limitBytes - commonLimitBytes) / maxHolders;
    }

    /**
     * Reserves more memory for a holder, unless it is neither within the holder's share nor left of
     * the common half.
     *
     * @return whether the memory was reserved
     */
    public boolean tryReserve(int heldBytes, int additionalBytes) {
        long needed = commonBytesNeeded(heldBytes, additionalBytes);
        if (needed > 0 && commonBytes + needed > commonLimitBytes) {
            return false;
        }
        reserve(heldBytes, additionalBytes);
        return true;
    }

    /** Reserves more memory for a holder, even over the limit, for what has been read already. */
    public void reserve(int heldBytes, int additionalBytes) {
        commonBytes += commonBytesNeeded(heldBytes, additionalBytes);
        reservedBytes += additionalBytes;
    }

    /** Returns all memory of a holder to the quota. */
    public void release(int heldBytes) {
        reserve(heldBytes, -heldBytes);
    }

    private long commonBytesNeeded(long heldBytes, int additionalBytes) {
        return commonBytesOf(heldBytes + additionalBytes) - commonBytesOf(heldBytes);
    }

    private long commonBytesOf(long heldBytes) {
        return Math.max(0, heldBytes - shareBytes);
    }

    /** Whether only shares are left, so that holders should reserve no more than they need. */
    public boolean isScarce() {
        return commonBytes >= commonLimitBytes;
    }

    /** Whether a holder with so many bytes has used up its share and nothing else is left. */
    public boolean isExhaustedFor(int heldBytes) {
        return isScarce() && heldBytes >= shareBytes;
    }

    /** Returns the number of reserved bytes. */
    public long reservedBytes() {
        return reservedBytes;
    }
}
