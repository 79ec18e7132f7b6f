package wheelroute.decision.state;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * A deterministic source of random numbers in [0, 1), computed from a seed and a counter: the same
 * events give the same decisions.
 */
public final class RandomDraws {
    private static final double RANGE = 1L << Integer.SIZE;

    private final CRC32 crc = new CRC32();
    private final long seed;
    private long draws;

    RandomDraws(long seed) {
        this.seed = seed;
    }

    /** Returns the next number of this instance's own sequence. */
    public double next() {
        return draw(seed, ++draws);
    }

    /** Returns the number for a pair, which is the same at every dispatcher. */
    public double draw(long first, long second) {
        crc.reset();
        crc.update(ByteBuffer.allocate(2 * Long.BYTES).putLong(first).putLong(second).flip());
        return crc.getValue() / RANGE;
    }
}
