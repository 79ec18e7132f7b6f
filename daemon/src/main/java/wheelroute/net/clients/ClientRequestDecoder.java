package wheelroute.net.clients;

import java.nio.ByteBuffer;
import java.util.Set;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import wheelroute.net.http.HttpMessageReader;
import wheelroute.units.TimeUnits;

/**
 * Decodes the requests on the connection of a client, which may arrive in any pieces.
 *
 * <p>Used on the event loop's thread only. After a {@link BadRequestException} the connection must
 * be closed, because it is unknown where the next request begins.
 */
public final class ClientRequestDecoder extends HttpMessageReader
        implements HttpParser.RequestHandler {
    /** Far more than the protocol's fields need; many clients share the memory. */
    private static final int MAX_HEAD_BYTES = 8 * 1024;

    /**
     * Strict, because a message that can be parsed in two ways could smuggle in another request.
     */
    private static final HttpCompliance COMPLIANCE = HttpCompliance.STRICT;

    /**
     * A target by RFC 3986 with well-formed escapes, since a worker may close its connection on any
     * other. The first segment may have letters that are not ASCII, as some platforms put the name
     * of a request class there unescaped. The quantifiers are possessive ("*+"): with backtracking
     * the matcher would recurse for each character and overflow the stack.
     */
    private static final Pattern TARGET =
            Pattern.compile(
                    "/(?:[A-Za-z0-9:@!$&'()*+,;=._~\u00a0-\ufffc-]|%[0-9A-Fa-f]{2})*+"
                            + "(?:[/?](?:[A-Za-z0-9/?:@!$&'()*+,;=._~-]|%[0-9A-Fa-f]{2})*+)?");

    /** Fields that are interpreted or forwarded, and so must not have two different values. */
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

    private final HttpParser parser =
            withoutHeaderCache(new HttpParser(this, MAX_HEAD_BYTES, COMPLIANCE));
    private final RequestBody body;
    private String method;
    private String target;

    /** One of the single fields that was repeated; null for none. */
    private String repeatedField;

    /** Set by the parser's callbacks, and thrown by {@link #decode}; null for none. */
    private BadRequestException fault;

    /**
     * Creates a decoder for one connection.
     *
     * @param quota for the bodies of all connections
     */
    public ClientRequestDecoder(MemoryQuota quota) {
        body = new RequestBody(quota);
    }

    /** Releases the memory of the last request's body. */
    public void release() {
        body.release();
    }

    /**
     * Decodes the next request. Bytes that follow it remain in the buffer.
     *
     * @return null if more bytes are needed
     * @throws BadRequestException if the request is malformed or too large
     */
    public ClientRequest decode(ByteBuffer in) throws BadRequestException {
        while (!isComplete() && fault == null && in.hasRemaining()) {
            try {
                parser.parseNext(in);
            } catch (RuntimeException e) {
                // The parser throws on some malformed messages, and calls badMessage on others.
                throw BadRequestException.malformed("no HTTP message");
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
            throw BadRequestException.malformed("the target is no path with a query");
        }
        RequestFields.checkToken(fields, "x-request-id");
        RequestFields.checkToken(fields, "idempotency-key");
        RequestFields.checkToken(fields, "x-route-key");
        RequestFields requestFields = new RequestFields(fields);
        return new ClientRequest(
                method,
                target,
                requestFields.text("x-request-id"),
                requestFields.text("idempotency-key"),
                requestFields.text("x-route-key"),
                requestFields.tenant(),
                requestFields.number("x-timeout", Double.NaN),
                requestFields.number("x-cost", Double.NaN) / TimeUnits.MICROS_PER_SECOND,
                requestFields.attributeNumber("slots", 1),
                requestFields.attributeNumber("memory", 0),
                "1".equals(requestFields.text("x-retried")),
                keepsOpen(),
                body.toArray());
    }

    // ---- callbacks of the parser

    @Override
    public void startRequest(String newMethod, String newTarget, HttpVersion version) {
        method = newMethod;
        target = newTarget;
        repeatedField = null;
        begin(version);
    }

    /** A field that is a list may be repeated; a field with a single value must not. */
    @Override
    protected void onRepeatedField(String name) {
        repeatedField = SINGLE_FIELDS.contains(name) ? name : repeatedField;
    }

    @Override
    public boolean headerComplete() {
        body.release();
        if (repeatedField != null) {
            fault = BadRequestException.malformed(repeatedField + " comes more than once");
        } else if (!isBodyLengthUnambiguous()) {
            fault = BadRequestException.malformed("the body's end cannot be told for certain");
        } else if (fields.containsKey("expect")) {
            fault =
                    new BadRequestException(
                            HttpStatus.EXPECTATION_FAILED_417, "the body must come unasked");
        } else if (parser.getContentLength() > RequestBody.MAX_BYTES) {
            fault = RequestBody.tooLarge();
        }
        return fault != null;
    }

    private boolean isBodyLengthUnambiguous() {
        String coding = fields.get("transfer-encoding");
        return coding == null
                || (coding.equalsIgnoreCase("chunked") && !fields.containsKey("content-length"));
    }

    @Override
    public boolean content(ByteBuffer piece) {
        try {
            body.append(piece, parser.getContentLength());
            return false;
        } catch (BadRequestException e) {
            fault = e;
            return true;
        }
    }

    @Override
    public void earlyEOF() {
        fault = BadRequestException.malformed("the message ends early");
    }

    @Override
    public void badMessage(HttpException cause) {
        fault =
                new BadRequestException(
                        responseStatus(cause.getCode()), String.valueOf(cause.getReason()));
    }

    /** Returns the status for one of the parser; the protocol for clients has only some of them. */
    private static int responseStatus(int parserStatus) {
        return switch (parserStatus) {
            case HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431, HttpStatus.URI_TOO_LONG_414 ->
                    HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431;
            case HttpStatus.PAYLOAD_TOO_LARGE_413 -> HttpStatus.PAYLOAD_TOO_LARGE_413;
            default -> HttpStatus.BAD_REQUEST_400;
        };
    }
}
