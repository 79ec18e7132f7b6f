package wheelroute.net.clients;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import wheelroute.net.http.HttpMessageReader;

/** Decodes the requests on one client's connection, in whatever pieces they come. */
public final class ClientRequestDecoder extends HttpMessageReader
        implements HttpParser.RequestHandler {
    /** In bytes: the protocol's limit on bodies. */
    static final int MAX_BODY_SIZE = 64 * 1024;

    /** In bytes: far more than the protocol's fields need; many clients share little memory. */
    static final int MAX_HEAD_SIZE = 8 * 1024;

    private static final double MICROS = 1e6;

    /** No deviation: what can be parsed in two ways could smuggle one request in another. */
    private static final HttpCompliance COMPLIANCE = HttpCompliance.STRICT;

    /**
     * Decimals as a person writes them: what only Java reads ("1e9", "0x1p3", "NaN") no worker need
     * read.
     */
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,12})?");

    /**
     * A target by RFC 3986, with well-formed escapes: on anything else a worker may close its
     * connection. The first segment may have letters that are not ASCII, as some platforms put a
     * request class's name there unescaped; they are forwarded byte for byte. Possessive ("*+"):
     * with backtracking the matcher would recurse for each character, and overflow the stack.
     */
    private static final Pattern TARGET =
            Pattern.compile(
                    "/(?:[A-Za-z0-9:@!$&'()*+,;=._~\u00a0-\ufffc-]|%[0-9A-Fa-f]{2})*+"
                            + "(?:[/?](?:[A-Za-z0-9/?:@!$&'()*+,;=._~-]|%[0-9A-Fa-f]{2})*+)?");

    /** Ids and keys are forwarded as they are: visible characters only, and not too many. */
    private static final Pattern TOKEN = Pattern.compile("[!-~]{1,256}");

    /** Fields that are interpreted or forwarded: of two values each reader might take another. */
    private static final Set<String> SINGLE_FIELDS =
            Set.of(
                    "host",
                    "content-length",
                    "transfer-encoding",
                    "x-request-id",
                    "x-timeout",
                    "idempotency-key",
                    "x-route-key",
                    "x-cost",
                    "x-attrs",
                    "x-retried",
                    "x-tenant-id");

    private static final byte[] NO_BODY = {};

    /** Stands for malformed UTF-8. */
    private static final char REPLACEMENT_CHARACTER = '\ufffd';

    private final HttpParser parser =
            withoutHeaderCache(new HttpParser(this, MAX_HEAD_SIZE, COMPLIANCE));
    private final MemoryQuota quota;
    private byte[] body = NO_BODY;

    /** How many bytes of the body have come. */
    private int filled;

    /** How many bytes are reserved of the quota. */
    private int reserved;

    private String method;
    private String target;

    /** A field that came more than once and may not; null for none. */
    private String repeated;

    private BadRequestException fault;

    /**
     * Makes a decoder for one connection.
     *
     * @param quota for the bodies of all connections
     */
    public ClientRequestDecoder(MemoryQuota quota) {
        this.quota = quota;
    }

    /** The body of the last request is not needed any more. */
    public void release() {
        quota.release(reserved);
        reserved = 0;
        filled = 0;
        body = NO_BODY;
    }

    /**
     * Returns the next request, or null when more bytes are needed. What follows the request stays
     * in the buffer.
     *
     * @throws BadRequestException if it is malformed, or too large
     */
    public ClientRequest decode(ByteBuffer in) throws BadRequestException {
        while (!isComplete() && fault == null && in.hasRemaining()) {
            try {
                parser.parseNext(in);
            } catch (RuntimeException e) {
                // The parser reports some malformed messages so, others to badMessage().
                throw bad("no HTTP message");
            }
        }
        if (fault != null) {
            throw fault;
        }
        if (!takeComplete()) {
            return null;
        }
        ClientRequest request = request();
        parser.reset();
        return request;
    }

    private ClientRequest request() throws BadRequestException {
        if (!TARGET.matcher(target).matches()) {
            throw bad("the target is no path with a query");
        }
        checkToken("x-request-id");
        checkToken("idempotency-key");
        checkToken("x-route-key");
        String tenant = fields.get("x-tenant-id");
        Map<String, String> attrs = parseAttrs();
        tenant = decodeUtf8(tenant == null ? attrs.getOrDefault("tenant", "") : tenant);
        return new ClientRequest(
                method,
                target,
                fields.get("x-request-id"),
                fields.get("idempotency-key"),
                fields.get("x-route-key"),
                tenant,
                number("x-timeout", fields.get("x-timeout"), Double.NaN),
                number("x-cost", fields.get("x-cost"), Double.NaN) / MICROS,
                number("slots", attrs.get("slots"), 1),
                number("memory", attrs.get("memory"), 0),
                "1".equals(fields.get("x-retried")),
                keepsOpen(),
                filled == body.length ? body : Arrays.copyOf(body, filled));
    }

    /** The parser makes one character of each byte; configured names may be UTF-8. */
    private static String decodeUtf8(String field) {
        byte[] bytes = field.getBytes(StandardCharsets.ISO_8859_1);
        String name = new String(bytes, StandardCharsets.UTF_8);
        return name.indexOf(REPLACEMENT_CHARACTER) < 0 ? name : field;
    }

    private Map<String, String> parseAttrs() throws BadRequestException {
        Map<String, String> attrs = new HashMap<>();
        String text = fields.getOrDefault("x-attrs", "");
        for (String pair : text.isEmpty() ? new String[0] : text.split(",")) {
            int equals = pair.indexOf('=');
            if (equals < 1) {
                throw bad("X-Attrs is not name=value: " + pair);
            }
            attrs.put(pair.substring(0, equals).trim(), pair.substring(equals + 1).trim());
        }
        return attrs;
    }

    private static double number(String name, String text, double absent)
            throws BadRequestException {
        if (text == null) {
            return absent;
        }
        if (!NUMBER.matcher(text).matches()) {
            throw bad(name + " is not a plain number from 0 on: " + text);
        }
        return Double.parseDouble(text);
    }

    private void checkToken(String name) throws BadRequestException {
        String value = fields.get(name);
        if (value != null && !TOKEN.matcher(value).matches()) {
            throw bad(name + " cannot go on as it is");
        }
    }

    private static BadRequestException bad(String fault) {
        return new BadRequestException(HttpStatus.BAD_REQUEST_400, fault);
    }

    @Override
    public void startRequest(String newMethod, String newTarget, HttpVersion version) {
        method = newMethod;
        target = newTarget;
        repeated = null;
        begin(version);
    }

    /** Lists may come in several fields of one name; single values may not. */
    @Override
    protected void onRepeatedField(String name) {
        repeated = SINGLE_FIELDS.contains(name) ? name : repeated;
    }

    @Override
    public boolean headerComplete() {
        release();
        String coding = fields.get("transfer-encoding");
        if (repeated != null) {
            fault = bad(repeated + " comes more than once");
        } else if (coding != null
                && (!coding.equalsIgnoreCase("chunked") || fields.containsKey("content-length"))) {
            fault = bad("the body's end cannot be told for certain");
        } else if (fields.containsKey("expect")) {
            fault =
                    new BadRequestException(
                            HttpStatus.EXPECTATION_FAILED_417, "the body must come unasked");
        } else if (parser.getContentLength() > MAX_BODY_SIZE) {
            fault = tooLarge();
        }
        return fault != null;
    }

    private static BadRequestException tooLarge() {
        return new BadRequestException(
                HttpStatus.PAYLOAD_TOO_LARGE_413, "the body is over " + MAX_BODY_SIZE);
    }

    /** Makes room for so many bytes of the body; false, with a fault, if there are too many. */
    private boolean grow(long length) {
        if (length > MAX_BODY_SIZE) {
            fault = tooLarge();
        } else if (!quota.tryReserve((int) length - reserved)) {
            fault =
                    new BadRequestException(
                            HttpStatus.SERVICE_UNAVAILABLE_503, "no room for the body now");
        } else {
            reserved = (int) length;
            body = Arrays.copyOf(body, reserved);
        }
        return fault == null;
    }

    @Override
    public boolean content(ByteBuffer piece) {
        int needed = filled + piece.remaining();
        // Reserves what has come, not what is announced: a stalled client must not block others.
        long maxBytes = parser.getContentLength() > 0 ? parser.getContentLength() : MAX_BODY_SIZE;
        if (needed > body.length && !grow(Math.max(needed, Math.min(2L * body.length, maxBytes)))) {
            return true;
        }
        int length = piece.remaining();
        piece.get(body, filled, length);
        filled += length;
        return false;
    }

    @Override
    public void earlyEOF() {
        fault = bad("the message ends early");
    }

    @Override
    public void badMessage(HttpException cause) {
        boolean known =
                cause.getCode() == HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431
                        || cause.getCode() == HttpStatus.PAYLOAD_TOO_LARGE_413;
        boolean longTarget = cause.getCode() == HttpStatus.URI_TOO_LONG_414;
        fault =
                new BadRequestException(
                        known
                                ? cause.getCode()
                                : longTarget
                                        ? HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431
                                        : HttpStatus.BAD_REQUEST_400,
                        String.valueOf(cause.getReason()));
    }
}
