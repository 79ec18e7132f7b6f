package wheelroute.net.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** Collects the body of a response, up to a size that the heap can hold. */
final class ListResponseBody {
    /** A list occupies memory as bytes, as entries, and as the entries that these replace. */
    private static final double MAX_HEAP_FRACTION = 1 / 12.0;

    /** Lists up to this size, some thousands of workers, are read however small the heap is. */
    private static final int MIN_LIMIT_BYTES = 1 << 20;

    private final long maxBytes =
            Math.max(
                    MIN_LIMIT_BYTES, (long) (MAX_HEAP_FRACTION * Runtime.getRuntime().maxMemory()));
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    /** Begins the body of a new response. */
    void reset() {
        bytes.reset();
    }

    /**
     * Appends a part of the body.
     *
     * @throws DiscoveryResponseException if the body becomes too large
     */
    void append(ByteBuffer part) throws DiscoveryResponseException {
        if (bytes.size() + part.remaining() > maxBytes) {
            throw new DiscoveryResponseException(
                    "the list is over "
                            + maxBytes
                            + " bytes, which are all that limits.memory_mb leaves for it");
        }
        byte[] copy = new byte[part.remaining()];
        part.get(copy);
        bytes.write(copy, 0, copy.length);
    }

    byte[] toByteArray() {
        return bytes.toByteArray();
    }
}
