package wheelroute.net.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import wheelroute.net.memory.HeapBudget;

/** Collects the body of a response up to the size of a list that the heap can hold. */
final class ListResponseBody {
    private final long maxBytes = HeapBudget.maxEndpointListBytes(Runtime.getRuntime().maxMemory());
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
