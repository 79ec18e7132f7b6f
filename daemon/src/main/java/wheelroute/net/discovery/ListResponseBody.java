package wheelroute.net.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** Collects the body of a response up to the size of a list that the heap can hold. */
final class ListResponseBody {
    /**
     * Maximum size of the body as a fraction of the maximum heap. While a list is applied, the heap
     * holds its bytes, its entries, and the entries that they replace.
     */
    private static final double MAX_HEAP_FRACTION = 1 / 12.0;

    /**
     * Lower bound of the maximum size, which is enough for some thousands of workers. Lists up to
     * this size are read however small the heap is.
     */
    private static final int MIN_LIMIT_BYTES = 1 << 20;

    private final long maxBytes =
            Math.max(
                    MIN_LIMIT_BYTES, (long) (MAX_HEAP_FRACTION * Runtime.getRuntime().maxMemory()));
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    /** Discards the collected bytes; the body of a new response begins. */
    void reset() {
        bytes.reset();
    }

    /**
     * Appends a part of the body.
     *
     * @throws DiscoveryResponseException if the body exceeds the maximum size
     */
    void append(ByteBuffer part) throws DiscoveryResponseException {
        if (bytes.size() + part.remaining() > maxBytes) {
            throw new DiscoveryResponseException(
                    "endpoint list exceeds "
                            + maxBytes
                            + " bytes, the maximum size with the configured limits.memory_mb");
        }
        byte[] copy = new byte[part.remaining()];
        part.get(copy);
        bytes.write(copy, 0, copy.length);
    }

    byte[] toByteArray() {
        return bytes.toByteArray();
    }
}
