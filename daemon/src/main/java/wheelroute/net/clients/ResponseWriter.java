package wheelroute.net.clients;

import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import wheelroute.net.memory.ResponseMemory;

/**
 * Writes the responses on the connection of a client, one at a time, and counts the memory of a
 * response until the client has read enough for all of it to be written.
 *
 * <p>Used on the event loop's thread only.
 */
final class ResponseWriter {
    /**
     * Time after which a connection expires whose client reads nothing of its response, because the
     * response occupies memory that other requests need.
     */
    private static final long WRITE_TIMEOUT_MILLIS = 10_000;

    private final EndPoint endPoint;
    private final ResponseMemory memory;

    /** Memory that is reserved for the response that is being written. */
    private int unwrittenBytes;

    ResponseWriter(EndPoint endPoint, ResponseMemory memory) {
        this.endPoint = endPoint;
        this.memory = memory;
    }

    /**
     * Starts to write a response. One of the callbacks is called later, or before this method
     * returns.
     *
     * @param isLast whether the response is the last one on the connection
     */
    void write(ClientResponse response, boolean isLast, Runnable onWritten, Runnable onFailed) {
        unwrittenBytes = response.body().length;
        memory.reserveBytes(unwrittenBytes);
        Callback written =
                Callback.from(
                        () -> {
                            release();
                            endPoint.setIdleTimeout(ClientServer.IDLE_TIMEOUT_MILLIS);
                            onWritten.run();
                        },
                        cause -> onFailed.run());
        endPoint.write(written, response.encode(isLast));
        if (unwrittenBytes > 0) {
            endPoint.setIdleTimeout(WRITE_TIMEOUT_MILLIS);
        }
    }

    /** Returns the memory of a response that is not written completely, and will not be. */
    void release() {
        memory.releaseBytes(unwrittenBytes);
        unwrittenBytes = 0;
    }
}
