package wheelroute.decision.state;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * Deterministic chance: numbers in [0, 1) drawn from a seed and a counter, so that the same events
 * give the same decisions.
 */
public final class RandomDraws {
    private static final double RANGE = 1L << Integer.SIZE;

    private final CRC32 crc = new CRC32();
    private final long seed;
    private long draws;

    RandomDraws(long seed) {
        this.seed = seed;
    }

    /** The next number of this instance's own sequence. */
    public double next() {
        return draw(seed, ++draws);
    }

    /** The number for this pair: every dispatcher that asks for the same pair draws the same. */
    public double draw(long first, long second) {
        crc.reset();
        crc.update(ByteBuffer.allocate(2 * Long.BYTES).putLong(first).putLong(second).flip());
        return crc.getValue() / RANGE;
    }
}
