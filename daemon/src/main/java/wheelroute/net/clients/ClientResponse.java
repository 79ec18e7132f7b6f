package wheelroute.net.clients;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpStatus;
import wheelroute.net.http.HttpMessageBuilder;

/**
 * A response to a client.
 *
 * @param retryAfter in seconds; 0 for no Retry-After
 */
public record ClientResponse(int status, double retryAfter, byte[] body) {
    private static final double MILLIS_PER_SECOND = 1e3;

    /** The request has succeeded. */
    public static ClientResponse succeeded(byte[] result) {
        return new ClientResponse(HttpStatus.OK_200, 0, result);
    }

    /** The request was rejected: nothing has run, and a retry is safe. */
    public static ClientResponse rejected(double retryAfter) {
        return new ClientResponse(
                HttpStatus.SERVICE_UNAVAILABLE_503,
                retryAfter,
                bytes("bounced: a retry is safe\n"));
    }

    /** The request has failed: it may have run. */
    public static ClientResponse failed() {
        return new ClientResponse(
                HttpStatus.BAD_GATEWAY_502, 0, bytes("scrapped: it may have run\n"));
    }

    /** Any other status, with a line of text. */
    public static ClientResponse of(int status, String text) {
        return new ClientResponse(status, 0, bytes(text + "\n"));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Writes the HTTP response. */
    public ByteBuffer[] encode(boolean lastOnConnection) {
        String roundedUp =
                Double.toString(Math.ceil(retryAfter * MILLIS_PER_SECOND) / MILLIS_PER_SECOND);
        return new HttpMessageBuilder("HTTP/1.1 " + status + " " + HttpStatus.getMessage(status))
                .field("Retry-After", retryAfter > 0 ? roundedUp : null)
                .field("Connection", lastOnConnection ? "close" : null)
                .body(body);
    }
}
