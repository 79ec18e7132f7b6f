package wheelroute.net.workers;

import java.nio.ByteBuffer;
import java.util.Locale;
import wheelroute.net.http.HttpMessageBuilder;

/**
 * What is sent to a worker on behalf of a client.
 *
 * @param target path and query, as the client sent them
 * @param id the client's id of the request
 * @param idempotencyKey null when the client sent none
 * @param routeKey null when the client sent none
 * @param atMostOnce whether a second run might do harm, so that a response has to be to this
 *     attempt for certain
 */
public record AttemptRequest(
        String method,
        String target,
        String id,
        String idempotencyKey,
        String routeKey,
        byte[] body,
        boolean atMostOnce) {
    /**
     * Writes the HTTP request.
     *
     * @param timeout how long the response is waited for, in seconds
     */
    public ByteBuffer[] encode(String host, double timeout) {
        return new HttpMessageBuilder(method + " " + target + " HTTP/1.1")
                .field("Host", host)
                .field("X-Request-ID", id)
                .field("Idempotency-Key", idempotencyKey)
                .field("X-Route-Key", routeKey)
                .field("X-Timeout", String.format(Locale.ROOT, "%.3f", timeout))
                .body(body);
    }
}
