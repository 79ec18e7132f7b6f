package wheelroute.net.clients;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * What a client sent, decoded. Times in seconds.
 *
 * @param target path and query, as they came
 * @param timeout how long the client waits from its send; NaN when not told
 * @param estimatedWork work on a standard core; NaN when not told
 */
public record ClientRequest(
        String method,
        String target,
        String id,
        String idempotencyKey,
        String routeKey,
        String tenant,
        double timeout,
        double estimatedWork,
        double slots,
        double memory,
        boolean clientRetry,
        boolean keepsOpen,
        byte[] body) {
    private static final int HEX = 16;

    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** The first part of the path. */
    public String requestClass() {
        String path = path();
        int slash = path.indexOf('/', 1);
        String first =
                path.substring(Math.min(1, path.length()), slash < 0 ? path.length() : slash);
        return first.indexOf('%') < 0 ? first : unescaped(first);
    }

    /**
     * A name may hold what a path cannot; its escapes are whole, or the message would not have been
     * read.
     */
    private static String unescaped(String text) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        byte[] in = text.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < in.length; i++) {
            boolean escape = in[i] == '%';
            out.write(
                    !escape
                            ? in[i]
                            : Character.digit(in[i + 1], HEX) * HEX
                                    + Character.digit(in[i + 2], HEX));
            i += escape ? 2 : 0;
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
