package wheelroute.net.clients;

import java.nio.ByteBuffer;
import java.util.Arrays;
import org.eclipse.jetty.http.HttpStatus;
import wheelroute.net.memory.MemoryQuota;

/**
 * The body of the request that is being decoded. The memory for the body is reserved from a quota
 * that all connections share. Used on the event loop's thread only.
 */
final class RequestBody {
    /** The maximum size of a body by the protocol for clients. */
    static final int MAX_BYTES = 64 * 1024;

    private static final byte[] EMPTY = {};

    private final MemoryQuota quota;
    private byte[] bytes = EMPTY;
    private int receivedBytes;
    private int reservedBytes;

    RequestBody(MemoryQuota quota) {
        this.quota = quota;
    }

    /** Discards the content and returns the reserved memory to the quota. */
    void release() {
        quota.release(reservedBytes);
        reservedBytes = 0;
        receivedBytes = 0;
        bytes = EMPTY;
    }

    /**
     * Appends bytes that have arrived.
     *
     * @param contentLength the length of the whole body in bytes; 0 or negative if unknown
     * @throws BadRequestException if the body is too large, or the quota is exhausted
     */
    void append(ByteBuffer piece, long contentLength) throws BadRequestException {
        int length = piece.remaining();
        int needed = receivedBytes + length;
        if (needed > bytes.length) {
            // The reservation grows as bytes arrive, so that a stalled client holds little memory.
            long maxBytes = contentLength > 0 ? contentLength : MAX_BYTES;
            grow(Math.max(needed, Math.min(2L * bytes.length, maxBytes)));
        }
        piece.get(bytes, receivedBytes, length);
        receivedBytes += length;
    }

    private void grow(long newLength) throws BadRequestException {
        if (newLength > MAX_BYTES) {
            throw tooLarge();
        }
        if (!quota.tryReserve((int) newLength - reservedBytes)) {
            throw new BadRequestException(
                    HttpStatus.SERVICE_UNAVAILABLE_503, "no room for the body now");
        }
        reservedBytes = (int) newLength;
        bytes = Arrays.copyOf(bytes, reservedBytes);
    }

    /** Returns the bytes received so far, not copied if they fill the buffer exactly. */
    byte[] toArray() {
        return receivedBytes == bytes.length ? bytes : Arrays.copyOf(bytes, receivedBytes);
    }

    static BadRequestException tooLarge() {
        return new BadRequestException(
                HttpStatus.PAYLOAD_TOO_LARGE_413, "the body is over " + MAX_BYTES);
    }
}
