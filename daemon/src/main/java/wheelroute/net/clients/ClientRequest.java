package wheelroute.net.clients;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpStatus;

/**
 * A decoded HTTP request of a client. Immutable, except for the body, which is not copied.
 *
 * @param target path and query, with percent escapes as sent
 * @param id the client's id of the request; null if absent
 * @param idempotencyKey null if absent
 * @param routeKey null if absent
 * @param tenant empty if absent
 * @param timeoutSeconds how long the client waits for the response; NaN if absent
 * @param estimatedWork the client's estimate in seconds on a standard core; NaN if absent
 * @param slots the number of slots that the request needs on a worker; 1 if absent
 * @param memory the memory that the request needs on a worker; 0 if absent
 * @param clientRetry whether the client has marked the request as a retry
 * @param keepsOpen whether the connection stays open after the response
 */
public record ClientRequest(
        String method,
        String target,
        String id,
        String idempotencyKey,
        String routeKey,
        String tenant,
        double timeoutSeconds,
        double estimatedWork,
        double slots,
        double memory,
        boolean clientRetry,
        boolean keepsOpen,
        byte[] body) {
    private static final int HEX_RADIX = 16;

    /**
     * Checks whether the request can be accepted, without regard to its request class.
     *
     * @throws BadRequestException if the method is wrong or a required field is missing
     */
    void checkAcceptable() throws BadRequestException {
        if (!method.equals("POST")) {
            throw new BadRequestException(HttpStatus.NOT_FOUND_404, "submissions come by POST");
        }
        if (id == null || id.isEmpty() || !(timeoutSeconds > 0)) {
            throw BadRequestException.malformed("X-Request-ID or X-Timeout is missing");
        }
    }

    /** Returns the target without the query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Returns the name of the request class, which is the decoded first path segment. */
    public String requestClass() {
        String path = path();
        int slash = path.indexOf('/', 1);
        String first =
                path.substring(Math.min(1, path.length()), slash < 0 ? path.length() : slash);
        return first.indexOf('%') < 0 ? first : unescaped(first);
    }

    /** Decodes percent escapes, which {@link ClientRequestDecoder} has checked before. */
    private static String unescaped(String text) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        byte[] in = text.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < in.length; i++) {
            boolean escape = in[i] == '%';
            out.write(
                    !escape
                            ? in[i]
                            : Character.digit(in[i + 1], HEX_RADIX) * HEX_RADIX
                                    + Character.digit(in[i + 2], HEX_RADIX));
            i += escape ? 2 : 0;
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
