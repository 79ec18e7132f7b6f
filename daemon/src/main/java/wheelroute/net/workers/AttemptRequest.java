package wheelroute.net.workers;

import java.nio.ByteBuffer;
import java.util.Locale;
import wheelroute.net.HttpText;

/**
 * What goes to a worker: the client's message, and how long its answer is waited for, in seconds.
 *
 * @param idempotencyKey by which a deduplicated submission is known; null for the others
 * @param atMostOnce a second run might do harm, so that what is heard of it has to be of it for
 *     certain
 */
public record AttemptRequest(
        String method,
        String target,
        String id,
        String idempotencyKey,
        String routeKey,
        byte[] body,
        boolean atMostOnce) {
    public ByteBuffer[] encode(String host, double limit) {
        return new HttpText(method + " " + target + " HTTP/1.1")
                .field("Host", host)
                .field("X-Request-ID", id)
                .field("Idempotency-Key", idempotencyKey)
                .field("X-Route-Key", routeKey)
                .field("X-Timeout", String.format(Locale.ROOT, "%.3f", limit))
                .body(body);
    }
}
