package wheelroute.net.clients;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpStatus;
import wheelroute.net.http.HttpMessageBuilder;
import wheelroute.units.TimeUnits;

/**
 * A response to a client. Immutable, except for the body, which is not copied.
 *
 * @param retryAfterSeconds value of the field Retry-After; {@link #NO_RETRY_AFTER} to omit the
 *     field
 */
public record ClientResponse(int status, double retryAfterSeconds, byte[] body) {
    /** Omits the field Retry-After, so that the client may retry at once, elsewhere. */
    public static final double NO_RETRY_AFTER = 0;

    /** Returns the response to a request that has succeeded, with its result as the body. */
    public static ClientResponse succeeded(byte[] result) {
        return new ClientResponse(HttpStatus.OK_200, NO_RETRY_AFTER, result);
    }

    /**
     * Returns the response to a rejected request, which the client may safely retry because it has
     * not run or because running it again does no harm.
     */
    public static ClientResponse rejected(double retryAfterSeconds) {
        return new ClientResponse(
                HttpStatus.SERVICE_UNAVAILABLE_503,
                retryAfterSeconds,
                bytes("bounced: a retry is safe\n"));
    }

    /** Returns the response to a failed request, which may have run. */
    public static ClientResponse failed() {
        return new ClientResponse(
                HttpStatus.BAD_GATEWAY_502, NO_RETRY_AFTER, bytes("scrapped: it may have run\n"));
    }

    /** Returns a response with the given status and a line of text as the body. */
    public static ClientResponse of(int status, String text) {
        return new ClientResponse(status, NO_RETRY_AFTER, bytes(text + "\n"));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Encodes the response as an HTTP message.
     *
     * @param isLast whether the response is the last one on its connection
     */
    public ByteBuffer[] encode(boolean isLast) {
        return new HttpMessageBuilder("HTTP/1.1 " + status + " " + HttpStatus.getMessage(status))
                .field("Retry-After", retryAfterSeconds > 0 ? ceilToMillis() : null)
                .field("Connection", isLast ? "close" : null)
                .body(body);
    }

    private String ceilToMillis() {
        double millis = Math.ceil(retryAfterSeconds * TimeUnits.MILLIS_PER_SECOND);
        return Double.toString(millis / TimeUnits.MILLIS_PER_SECOND);
    }
}
