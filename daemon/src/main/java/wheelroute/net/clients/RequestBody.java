package wheelroute.net.clients;

import java.nio.ByteBuffer;
import java.util.Arrays;
import org.eclipse.jetty.http.HttpStatus;

/** The body of the request that is being decoded. Used on the event loop's thread only. */
final class RequestBody {
    /** The maximum size of a body by the protocol for clients. */
    static final int MAX_BYTES = 64 * 1024;

    private static final byte[] EMPTY = {};

    private final RequestMemory memory;
    private byte[] bytes = EMPTY;
    private int receivedBytes;

    /** Creates an empty body, which reserves its memory as bytes arrive. */
    RequestBody(RequestMemory memory) {
        this.memory = memory;
    }

    /** Discards the content. The caller releases the memory. */
    void clear() {
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
        memory.reserveBody((int) newLength - bytes.length);
        bytes = Arrays.copyOf(bytes, (int) newLength);
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
