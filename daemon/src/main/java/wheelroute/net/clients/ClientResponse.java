package wheelroute.net.clients;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpStatus;
import wheelroute.net.HttpText;

/** What a client is answered; a retryAfter of 0 gives no advice. */
public record ClientResponse(int status, double retryAfter, byte[] body) {
    private static final double MILLIS = 1e3;

    public static ClientResponse fulfilled(byte[] result) {
        return new ClientResponse(HttpStatus.OK_200, 0, result);
    }

    public static ClientResponse bounced(double retryAfter) {
        return new ClientResponse(
                HttpStatus.SERVICE_UNAVAILABLE_503, retryAfter, text("bounced: a retry is safe\n"));
    }

    public static ClientResponse scrapped() {
        return new ClientResponse(
                HttpStatus.BAD_GATEWAY_502, 0, text("scrapped: it may have run\n"));
    }

    public static ClientResponse of(int status, String words) {
        return new ClientResponse(status, 0, text(words + "\n"));
    }

    private static byte[] text(String words) {
        return words.getBytes(StandardCharsets.UTF_8);
    }

    public ByteBuffer[] encode(boolean lastOnConnection) {
        String advice = Double.toString(Math.ceil(retryAfter * MILLIS) / MILLIS);
        return new HttpText("HTTP/1.1 " + status + " " + HttpStatus.getMessage(status))
                .field("Retry-After", retryAfter > 0 ? advice : null)
                .field("Connection", lastOnConnection ? "close" : null)
                .body(body);
    }
}
