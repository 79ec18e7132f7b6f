package wheelroute.net.workers;

import java.nio.ByteBuffer;
import java.util.Locale;
import wheelroute.net.http.HttpMessageBuilder;

/**
 * The request that an attempt sends to a worker. Immutable except for the body, which is not
 * copied.
 *
 * @param target path and query as the client sent them
 * @param id request ID that the client sent
 * @param idempotencyKey null if the client sent none
 * @param routeKey null if the client sent none
 * @param atMostOnce whether a second run of the request could do harm, so that it must be certain
 *     to which attempt a response belongs
 */
public record AttemptRequest(
        String method,
        String target,
        String id,
        String idempotencyKey,
        String routeKey,
        byte[] body,
        boolean atMostOnce) {
    private static final byte[] NO_BODY = {};

    /**
     * Returns this request without its body, which occupies memory and is not needed once no
     * attempt can be sent any more.
     */
    public AttemptRequest withoutBody() {
        return new AttemptRequest(
                method, target, id, idempotencyKey, routeKey, NO_BODY, atMostOnce);
    }

    /**
     * Encodes the HTTP request.
     *
     * @param host value of the header field Host
     * @param timeoutSeconds how long this dispatcher waits for the response
     */
    public ByteBuffer[] encode(String host, double timeoutSeconds) {
        return new HttpMessageBuilder(method + " " + target + " HTTP/1.1")
                .field("Host", host)
                .field("X-Request-ID", id)
                .field("Idempotency-Key", idempotencyKey)
                .field("X-Route-Key", routeKey)
                .field("X-Timeout", String.format(Locale.ROOT, "%.3f", timeoutSeconds))
                .body(body);
    }
}
