package wheelroute.net.history;

import wheelroute.decision.EarlierAttempt;

/**
 * Remembers, for each request that must not run twice, the first attempt that may have run, from
 * before that attempt is sent until a repeat is not expected any more. It takes a fixed amount of
 * memory, a few bytes for each request: two requests are taken for the same one in very few cases,
 * which then restricts the second one without need.
 *
 * <p>Used on the event loop's thread only. Times are on the event loop's clock, in seconds.
 */
public final class AttemptHistory {
    static final int TICK_BITS = FingerprintTable.VALUE_BITS - WorkerGroups.INDEX_BITS;

    /**
     * Entries are kept a little longer than necessary, since their times are rounded down, and once
     * more whenever another process takes them over.
     */
    static final int SLACK_TICKS = 4;

    private static final int TICKS = 1 << TICK_BITS;
    private static final int TICK_MASK = TICKS - 1;

    /** The longest time for which an entry is kept; the rest of the range is for the sweep. */
    private static final int MAX_RETENTION_TICKS = TICKS * 3 / 4;

    private static final int SWEEP_TICKS = TICKS / 8 - 2 * SLACK_TICKS;
    private static final int SWEEP_TICKS_IF_SCARCE = TICKS / 256;

    /** The load above which expired entries are removed soon. */
    private static final double SCARCE_FRACTION = 0.75;

    private final int slotsPerBucket;
    private final int capacity;
    private final double tickSeconds;
    private final WorkerGroups groups = new WorkerGroups();
    private final ClientShares shares;
    private long seed;

    /** Null until the first entry, because many dispatchers have no such requests. */
    private FingerprintTable table;

    /** Accepted requests that have no entry yet. */
    private int reservations;

    /**
     * The tick from which the expiry of entries counts, as they keep only its lowest bits. All
     * entries expire after it.
     */
    private long baseTick;

    /**
     * Creates an empty history.
     *
     * @param limitBytes the maximum memory of the entries
     * @param maxRetentionSeconds the longest time for which any entry is kept
     * @param maxClients the number of clients that there can be at the same time
     * @param seed the seed of the hashes, which clients should not know
     */
    public AttemptHistory(long limitBytes, double maxRetentionSeconds, int maxClients, long seed) {
        slotsPerBucket = FingerprintTable.slotsPerBucket(limitBytes);
        capacity = FingerprintTable.capacity(slotsPerBucket);
        tickSeconds = maxRetentionSeconds / MAX_RETENTION_TICKS;
        shares = new ClientShares(capacity, maxClients, maxRetentionSeconds);
        this.seed = seed;
    }

    /** Returns the hash by which the methods of this class identify a request. */
    public long hash(RequestIdentity identity) {
        return RequestHash.of(seed, identity);
    }

    /**
     * Returns the first attempt that may have run, of this request or an earlier one with the same
     * identity; null if none is remembered. Its time is at most one tick earlier than it was.
     *
     * @param retentionSeconds the time for which requests of this class are remembered
     */
    public EarlierAttempt find(long hash, double retentionSeconds, double now) {
        sweepIfDue(now);
        int value = table == null ? -1 : table.get(FingerprintTable.fingerprintOf(hash));
        if (value < 0 || isExpired(expiryTick(value), now)) {
            return null;
        }
        double sentAt = expiryTick(value) * tickSeconds - retentionSeconds;
        return groups.attemptIn(groupOf(value), sentAt);
    }

    /**
     * Reserves an entry for a request that is not remembered yet, unless there is no memory, or
     * none for this client. It becomes an entry by {@link #add}, or is returned by {@link
     * #release}.
     *
     * @return whether it was reserved
     */
    public boolean reserve(int client, double retentionSeconds, double now) {
        sweepIfDue(now);
        boolean fits =
                size() + reservations < capacity
                        && (table == null || !table.hasOverflow())
                        && shares.mayHoldMore(client, size() + reservations, now);
        if (fits) {
            reservations++;
            shares.add(client, now + retentionSeconds, now);
        }
        return fits;
    }

    /**
     * Returns a reservation that did not become an entry.
     *
     * @param reservedAt the time of {@link #reserve}
     */
    public void release(int client, double retentionSeconds, double reservedAt, double now) {
        reservations--;
        forgetShare(client, retentionSeconds, reservedAt, now);
    }

    /** Returns the part of a client's share that a removed entry has used. */
    public void forgetShare(int client, double retentionSeconds, double reservedAt, double now) {
        shares.remove(client, reservedAt + retentionSeconds, now);
    }

    /** Adds an entry for a reservation. */
    public void add(long hash, EarlierAttempt first, double retentionSeconds, double now) {
        reservations--;
        put(hash, first, retentionSeconds, now);
    }

    /** Adds an entry without a reservation, or replaces it. */
    public void put(long hash, EarlierAttempt first, double retentionSeconds, double now) {
        sweepIfDue(now);
        putExpiry(
                FingerprintTable.fingerprintOf(hash),
                first,
                Math.min(first.sentAt(), now) + retentionSeconds,
                now);
    }

    /**
     * Adds an entry of another process; of two entries for one request the older one is kept.
     *
     * @param expiresAt the time of the attempt and the retention
     */
    void mergeEntry(long fingerprint, EarlierAttempt group, double expiresAt, double now) {
        sweepIfDue(now);
        int known = table == null ? -1 : table.get(fingerprint);
        if (known < 0 || expiryTick(known) > tickAt(expiresAt)) {
            putExpiry(fingerprint, group, expiresAt, now);
        }
    }

    /** Adds an entry of another process that has just begun an attempt. */
    public void merge(long hash, EarlierAttempt first, double retentionSeconds, double now) {
        mergeEntry(
                FingerprintTable.fingerprintOf(hash),
                first,
                Math.min(first.sentAt(), now) + retentionSeconds,
                now);
    }

    private void putExpiry(long fingerprint, EarlierAttempt group, double expiresAt, double now) {
        if (isExpired(tickAt(expiresAt), now)) {
            return;
        }
        if (table == null) {
            table = new FingerprintTable(slotsPerBucket);
        }
        long expiryTick = Math.min(tickAt(expiresAt), tickAt(now) + MAX_RETENTION_TICKS);
        removeFingerprint(fingerprint);
        int index = groups.add(group.zone(), group.cell());
        table.add(fingerprint, (index << TICK_BITS) | (int) (expiryTick & TICK_MASK));
    }

    /** Removes a request of which no attempt has run. */
    public void remove(long hash) {
        removeFingerprint(FingerprintTable.fingerprintOf(hash));
    }

    private void removeFingerprint(long fingerprint) {
        int value = table == null ? -1 : table.remove(fingerprint);
        if (value >= 0) {
            groups.remove(groupOf(value));
        }
    }

    /** Returns the number of requests that are remembered. */
    public int size() {
        return table == null ? 0 : table.size();
    }

    /** Returns the number of requests that can be remembered. */
    public int capacity() {
        return capacity;
    }

    long seed() {
        return seed;
    }

    /**
     * Uses the seed of another process, so that its entries can be merged.
     *
     * @return false if there are entries or reservations with a seed of their own
     */
    boolean adoptSeed(long otherSeed) {
        if (size() + reservations == 0) {
            seed = otherSeed;
        }
        return seed == otherSeed;
    }

    double tickSeconds() {
        return tickSeconds;
    }

    WorkerGroups groups() {
        return groups;
    }

    /** Returns the entries as of now, or null if there are none. */
    FingerprintTable.Snapshot snapshot(double now) {
        sweepIfDue(now);
        return size() == 0 ? null : table.snapshot();
    }

    private long expiryTick(int value) {
        return expiryTick(value, baseTick);
    }

    /** Returns the tick at which an entry expires, of which the value has the lowest bits. */
    static long expiryTick(int value, long baseTick) {
        return baseTick + ((value - baseTick) & TICK_MASK);
    }

    long baseTick() {
        return baseTick;
    }

    static int groupOf(int value) {
        return value >>> TICK_BITS;
    }

    long tickAt(double time) {
        return (long) Math.floor(time / tickSeconds);
    }

    /**
     * Removes expired entries from time to time. It must run before the base is so long ago that
     * the lowest bits of an expiry are ambiguous.
     */
    private void sweepIfDue(double now) {
        long tick = tickAt(now);
        boolean scarce = size() + reservations > SCARCE_FRACTION * capacity;
        long elapsed = tick - SLACK_TICKS - baseTick;
        if (elapsed < (scarce ? SWEEP_TICKS_IF_SCARCE : SWEEP_TICKS)) {
            return;
        }
        if (table != null) {
            table.removeIf(value -> removesExpired(value, now));
        }
        baseTick = tick - SLACK_TICKS;
    }

    private boolean isExpired(long expiryTick, double now) {
        return expiryTick + SLACK_TICKS <= tickAt(now);
    }

    private boolean removesExpired(int value, double now) {
        boolean expired = isExpired(expiryTick(value), now);
        if (expired) {
            groups.remove(groupOf(value));
        }
        return expired;
    }
}
