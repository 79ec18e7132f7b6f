package wheelroute.net.history;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.IntPredicate;

/**
 * A hash table of fixed size that maps fingerprints of keys to small values. It is a cuckoo filter
 * with values (Fan, Andersen, Kaminsky and Mitzenmacher, "Cuckoo Filter: Practically Better Than
 * Bloom", 2014): each entry is in one of two buckets, and an entry that finds both of them full
 * moves others to their second bucket.
 *
 * <p>A fingerprint has {@value #FINGERPRINT_BITS} bits, of which {@value #BUCKET_BITS} are kept as
 * the position of the entry. The number of buckets is the same in every table, so that the entries
 * of one table can be put into another one. Not thread-safe.
 */
final class FingerprintTable {
    /** The bits of a fingerprint that choose the first bucket. */
    static final int BUCKET_BITS = 16;

    /** The bits of a fingerprint that are stored in the entry, and are not all 0. */
    static final int TAG_BITS = 19;

    static final int FINGERPRINT_BITS = BUCKET_BITS + TAG_BITS;
    static final int VALUE_BITS = 23;

    /** Returned by {@link #get} for a fingerprint that is not in the table. */
    static final int ABSENT = -1;

    private static final int ENTRY_BITS = TAG_BITS + VALUE_BITS;
    private static final int BUCKETS = 1 << BUCKET_BITS;
    private static final int BUCKET_MASK = BUCKETS - 1;
    private static final long TAG_MASK = (1L << TAG_BITS) - 1;
    private static final int VALUE_MASK = (1 << VALUE_BITS) - 1;

    /** Spreads the bits of a tag; odd, so that different tags stay different. */
    private static final int TAG_MULTIPLIER = 0x5bd1e995;

    /** The multiplier of Knuth's MMIX generator. */
    private static final long VICTIM_MULTIPLIER = 6364136223846793005L;

    private static final int MAX_MOVES = 500;

    /** Up to these loads, an entry almost always finds a place. */
    private static final double MAX_LOAD = 0.97;

    private static final double MAX_LOAD_OF_SMALL_BUCKETS = 0.85;
    private static final int SMALL_BUCKET_SLOTS = 2;

    private static final long EMPTY = 0;

    /** Receives the entries of a table. */
    interface EntryVisitor {
        void visit(long fingerprint, int value);
    }

    private final int slotsPerBucket;
    private final PackedArray slots;

    /** Entries that found no place, which is very unlikely. */
    private final List<Overflow> overflow = new ArrayList<>();

    private int size;
    private long victimState;

    private record Overflow(int bucket, long entry) {}

    /** Creates an empty table with a number of slots in each bucket. */
    FingerprintTable(int slotsPerBucket) {
        this(slotsPerBucket, new PackedArray(BUCKETS * slotsPerBucket, ENTRY_BITS));
    }

    private FingerprintTable(int slotsPerBucket, PackedArray slots) {
        this.slotsPerBucket = slotsPerBucket;
        this.slots = slots;
    }

    /** Returns the number of slots in each bucket of the largest table within the limit. */
    static int slotsPerBucket(long limitBytes) {
        return (int) Math.max(1, limitBytes * Byte.SIZE / ENTRY_BITS / BUCKETS);
    }

    /** Returns the number of entries up to which another one can be put. */
    static int capacity(int slotsPerBucket) {
        double load = slotsPerBucket <= SMALL_BUCKET_SLOTS ? MAX_LOAD_OF_SMALL_BUCKETS : MAX_LOAD;
        return (int) (load * BUCKETS * slotsPerBucket);
    }

    /** Returns the fingerprint of a 64-bit hash. */
    static long fingerprintOf(long hash) {
        long fingerprint = hash >>> (Long.SIZE - FINGERPRINT_BITS);
        return (fingerprint & TAG_MASK) == EMPTY ? fingerprint + 1 : fingerprint;
    }

    private static int firstBucket(long fingerprint) {
        return (int) (fingerprint >>> TAG_BITS);
    }

    /** Returns the other bucket of an entry, from either of its buckets. */
    private static int otherBucket(int bucket, long tag) {
        return (bucket ^ (((int) tag * TAG_MULTIPLIER) >>> (Integer.SIZE - BUCKET_BITS)))
                & BUCKET_MASK;
    }

    private static long tagOf(long entry) {
        return entry >>> VALUE_BITS;
    }

    int size() {
        return size;
    }

    /** Returns whether an entry was put that found no place within the table. */
    boolean hasOverflow() {
        return !overflow.isEmpty();
    }

    /** Returns the value of a fingerprint, or {@link #ABSENT}. */
    int get(long fingerprint) {
        int slot = find(fingerprint);
        if (slot >= 0) {
            return (int) slots.get(slot) & VALUE_MASK;
        }
        int index = overflow.isEmpty() ? -1 : findOverflow(fingerprint);
        return index < 0 ? ABSENT : (int) overflow.get(index).entry & VALUE_MASK;
    }

    private int find(long fingerprint) {
        long tag = fingerprint & TAG_MASK;
        int bucket = firstBucket(fingerprint);
        int slot = find(bucket, tag);
        return slot >= 0 ? slot : find(otherBucket(bucket, tag), tag);
    }

    private int find(int bucket, long tag) {
        int start = bucket * slotsPerBucket;
        for (int slot = start; slot < start + slotsPerBucket; slot++) {
            if (tagOf(slots.get(slot)) == tag) {
                return slot;
            }
        }
        return -1;
    }

    private int findOverflow(long fingerprint) {
        long tag = fingerprint & TAG_MASK;
        int bucket = firstBucket(fingerprint);
        for (int i = 0; i < overflow.size(); i++) {
            Overflow candidate = overflow.get(i);
            boolean sameBuckets =
                    candidate.bucket == bucket || candidate.bucket == otherBucket(bucket, tag);
            if (tagOf(candidate.entry) == tag && sameBuckets) {
                return i;
            }
        }
        return -1;
    }

    /** Adds an entry for a fingerprint that is not in the table. */
    void add(long fingerprint, int value) {
        size++;
        insert(firstBucket(fingerprint), ((fingerprint & TAG_MASK) << VALUE_BITS) | value);
    }

    private void insert(int bucket, long entry) {
        if (placeInBucket(bucket, entry)) {
            return;
        }
        int current = bucket;
        long homeless = entry;
        for (int moves = 0; moves < MAX_MOVES; moves++) {
            current = otherBucket(current, tagOf(homeless));
            if (placeInBucket(current, homeless)) {
                return;
            }
            int victim = current * slotsPerBucket + nextVictim();
            long displaced = slots.get(victim);
            slots.set(victim, homeless);
            homeless = displaced;
        }
        overflow.add(new Overflow(current, homeless));
    }

    /** Returns a slot of a bucket, pseudo-randomly so that moves do not go round in circles. */
    private int nextVictim() {
        victimState = victimState * VICTIM_MULTIPLIER + 1;
        return (int) Math.floorMod(victimState >>> Integer.SIZE, (long) slotsPerBucket);
    }

    private boolean placeInBucket(int bucket, long entry) {
        int free = find(bucket, EMPTY);
        if (free >= 0) {
            slots.set(free, entry);
        }
        return free >= 0;
    }

    /** Removes a fingerprint; returns its value, or {@link #ABSENT}. */
    int remove(long fingerprint) {
        int value = get(fingerprint);
        if (value == ABSENT) {
            return ABSENT;
        }
        size--;
        int slot = find(fingerprint);
        if (slot >= 0) {
            slots.set(slot, EMPTY);
        } else {
            overflow.remove(findOverflow(fingerprint));
        }
        return value;
    }

    /** Removes all entries with a value that the predicate accepts. */
    void removeIf(IntPredicate removes) {
        for (int slot = 0; slot < BUCKETS * slotsPerBucket; slot++) {
            long entry = slots.get(slot);
            if (entry != EMPTY && removes.test((int) entry & VALUE_MASK)) {
                slots.set(slot, EMPTY);
                size--;
            }
        }
        reinsertOverflow(removes);
    }

    private void reinsertOverflow(IntPredicate removes) {
        List<Overflow> previous = List.copyOf(overflow);
        overflow.clear();
        for (Overflow old : previous) {
            if (removes.test((int) old.entry & VALUE_MASK)) {
                size--;
            } else {
                insert(old.bucket, old.entry);
            }
        }
    }

    /** Returns the entries as of now; later changes have no effect on what is returned. */
    Snapshot snapshot() {
        return new Snapshot(slots.copy(), List.copyOf(overflow));
    }

    /** The entries of a table at one time, which are visited in parts. */
    final class Snapshot {
        private final PackedArray copy;
        private final Iterator<Overflow> remainingOverflow;
        private int nextSlot;

        private Snapshot(PackedArray copy, List<Overflow> overflow) {
            this.copy = copy;
            remainingOverflow = overflow.iterator();
        }

        /** Visits the next entries, at most so many; returns the number of them, 0 at the end. */
        int visitNext(int maxEntries, EntryVisitor visitor) {
            int visited = 0;
            for (; visited < maxEntries && nextSlot < BUCKETS * slotsPerBucket; nextSlot++) {
                long entry = copy.get(nextSlot);
                if (entry != EMPTY) {
                    visit(nextSlot / slotsPerBucket, entry, visitor);
                    visited++;
                }
            }
            for (; visited < maxEntries && remainingOverflow.hasNext(); visited++) {
                Overflow next = remainingOverflow.next();
                visit(next.bucket, next.entry, visitor);
            }
            return visited;
        }

        private void visit(int bucket, long entry, EntryVisitor visitor) {
            visitor.visit(((long) bucket << TAG_BITS) | tagOf(entry), (int) entry & VALUE_MASK);
        }
    }
}
