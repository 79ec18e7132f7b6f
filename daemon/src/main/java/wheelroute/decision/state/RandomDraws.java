package wheelroute.decision.state;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * A deterministic source of random numbers in [0, 1), computed from a seed and a counter, so that
 * the same events lead to the same decisions.
 */
public final class RandomDraws {
    private static final double RANGE = 1L << Integer.SIZE;

    private final CRC32 crc = new CRC32();
    private final long seed;
    private long draws;

    RandomDraws(long seed) {
        this.seed = seed;
    }

    /** Returns the next number of the sequence that the seed of this instance determines. */
    public double next() {
        return draw(seed, ++draws);
    }

    /** Returns the number that a pair determines, which is the same at every dispatcher. */
    public double draw(long first, long second) {
        crc.reset();
        crc.update(ByteBuffer.allocate(2 * Long.BYTES).putLong(first).putLong(second).flip());
        return crc.getValue() / RANGE;
    }
}
