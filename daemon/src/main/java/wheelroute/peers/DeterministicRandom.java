package wheelroute.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Pseudo-random number generator. Each number is the CRC-32 of the seed and of the number of draws
 * so far. Simulations are repeatable only as long as the order of the draws does not change.
 *
 * <p>Not thread-safe.
 */
final class DeterministicRandom {
    private static final double CRC_RANGE = 1L << Integer.SIZE;

    private final long seed;
    private long draws;

    DeterministicRandom(long seed) {
        this.seed = seed;
    }

    /** Returns the next number, from 0 inclusive to 1 exclusive. */
    double next() {
        CRC32 crc = new CRC32();
        long counter = ++draws;
        for (int shift = 0; shift < Long.SIZE; shift += Byte.SIZE) {
            crc.update((int) (seed >>> shift));
            crc.update((int) (counter >>> shift));
        }
        return crc.getValue() / CRC_RANGE;
    }

    /** Returns the next number as an index, from 0 inclusive to the bound exclusive. */
    int nextIndex(int bound) {
        return (int) (next() * bound);
    }

    /**
     * Returns a copy of the list in random order (Fisher-Yates), with one draw for each element but
     * the first.
     */
    <T> List<T> shuffled(List<T> list) {
        List<T> order = new ArrayList<>(list);
        for (int i = order.size() - 1; i > 0; i--) {
            int other = nextIndex(i + 1);
            T last = order.get(i);
            order.set(i, order.get(other));
            order.set(other, last);
        }
        return order;
    }
}
