package wheelroute.net.clients;

import org.eclipse.jetty.http.HttpStatus;
import wheelroute.net.memory.FairShareQuota;

/**
 * The memory that one connection occupies with the request that is being read or answered, of a
 * quota that all connections share. The reservation grows as bytes arrive, so that a stalled client
 * holds little. Used on the event loop's thread only.
 */
final class RequestMemory {
    /**
     * The memory for one byte of a head: in the buffers of the parser, which grow by doubling, and
     * in the values that are kept.
     */
    private static final int BYTES_PER_HEAD_BYTE = 4;

    private final FairShareQuota quota;
    private int heldBytes;

    RequestMemory(FairShareQuota quota) {
        this.quota = quota;
    }

    /**
     * Reserves the memory for a part of the head that has arrived.
     *
     * @throws BadRequestException if there is no memory
     */
    void reserveHead(int arrivedBytes) throws BadRequestException {
        reserve(BYTES_PER_HEAD_BYTE * arrivedBytes, "no room for the head now");
    }

    /**
     * Reserves the memory for more of the body.
     *
     * @throws BadRequestException if there is no memory
     */
    void reserveBody(int additionalBytes) throws BadRequestException {
        reserve(additionalBytes, "no room for the body now");
    }

    private void reserve(int additionalBytes, String failure) throws BadRequestException {
        if (!quota.tryReserve(heldBytes, additionalBytes)) {
            throw new BadRequestException(HttpStatus.SERVICE_UNAVAILABLE_503, failure);
        }
        heldBytes += additionalBytes;
    }

    /** Returns all of the memory to the quota. */
    void release() {
        quota.release(heldBytes);
        heldBytes = 0;
    }
}
