package wheelroute.net.clients;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * A client's HTTP request, decoded.
 *
 * @param target path and query, as they came
 * @param id null when not given
 * @param idempotencyKey null when not given
 * @param routeKey null when not given
 * @param tenant empty when not given
 * @param timeoutSeconds how many seconds the client waits from its send on; NaN when not given
 * @param estimatedWork seconds on a standard core; NaN when not given
 * @param clientRetry whether the client says that this is a retry
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

    /** The target without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** The name of the request class: the first segment of the path, decoded. */
    public String requestClass() {
        String path = path();
        int slash = path.indexOf('/', 1);
        String first =
                path.substring(Math.min(1, path.length()), slash < 0 ? path.length() : slash);
        return first.indexOf('%') < 0 ? first : unescaped(first);
    }

    /** Decodes percent escapes. They are well-formed: {@link ClientRequestDecoder} checks them. */
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
