package wheelroute.net.clients;

import java.nio.ByteBuffer;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import wheelroute.net.http.HttpMessageReader;
import wheelroute.net.memory.FairShareQuota;
import wheelroute.units.TimeUnits;

/**
 * Decodes the requests on the connection of a client. The bytes may arrive in parts of any size.
 *
 * <p>Used on the event loop's thread only. After a {@link BadRequestException} the connection must
 * be closed, because the beginning of the next request is unknown.
 */
public final class ClientRequestDecoder extends HttpMessageReader
        implements HttpParser.RequestHandler {
    /**
     * The maximum size of the request line together with all header fields. The protocol needs far
     * less, and the memory is shared by many clients.
     */
    private static final int MAX_HEAD_BYTES = 8 * 1024;

    /**
     * The compliance mode, which is strict because a message that can be parsed in two ways would
     * permit request smuggling.
     */
    private static final HttpCompliance COMPLIANCE = HttpCompliance.STRICT;

    /**
     * Matches targets by RFC 3986 with well-formed escapes, because a worker may close its
     * connection on any other target. The first segment may also have letters that are not ASCII,
     * as some platforms put the name of a request class there unescaped. The quantifiers are
     * possessive ("*+"), because a backtracking matcher would recurse for each character and
     * overflow the stack.
     */
    private static final Pattern TARGET =
            Pattern.compile(
                    "/(?:[A-Za-z0-9:@!$&'()*+,;=._~\u00a0-\ufffc-]|%[0-9A-Fa-f]{2})*+"
                            + "(?:[/?](?:[A-Za-z0-9/?:@!$&'()*+,;=._~-]|%[0-9A-Fa-f]{2})*+)?");

    /** Fields that must not be repeated, because they are interpreted or forwarded as one value. */
    private static final Set<String> SINGLE_VALUE_FIELDS =
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

    /** The fields that are used, or whose presence is an error. */
    private static final Set<String> KEPT_FIELDS =
            Stream.concat(SINGLE_VALUE_FIELDS.stream(), Stream.of("expect"))
                    .collect(Collectors.toUnmodifiableSet());

    private final RequestMemory memory;
    private final RequestBody body;

    /** The parser of the current message; null between two messages, as its buffers are large. */
    private HttpParser parser;

    private boolean isHeadComplete;
    private String method;
    private String target;

    /** The name of a single-value field that was repeated; null if there is none. */
    private String repeatedField;

    /** The exception that {@link #decode} throws for a parser callback; null if there is none. */
    private BadRequestException failure;

    /**
     * Creates a decoder for one connection.
     *
     * @param quota limits the memory for the requests of all connections
     */
    public ClientRequestDecoder(FairShareQuota quota) {
        super(KEPT_FIELDS);
        memory = new RequestMemory(quota);
        body = new RequestBody(memory);
    }

    /** Discards the last request, which may be incomplete, and releases its memory. */
    public void release() {
        parser = null;
        fields.clear();
        target = null;
        body.clear();
        memory.release();
    }

    /**
     * Decodes the next request. Bytes after the request remain in the buffer.
     *
     * @return the request, or null if more bytes are needed
     * @throws BadRequestException if the request is malformed or too large
     */
    public ClientRequest decode(ByteBuffer in) throws BadRequestException {
        while (!isComplete() && failure == null && in.hasRemaining()) {
            parse(in);
        }
        if (failure != null) {
            throw failure;
        }
        if (!takeComplete()) {
            return null;
        }
        ClientRequest request = request();
        parser = null;
        return request;
    }

    /** Parses a part of the message, and reserves memory for what belongs to its head. */
    private void parse(ByteBuffer in) throws BadRequestException {
        if (parser == null) {
            release();
            parser = withoutHeaderCache(new HttpParser(this, MAX_HEAD_BYTES, COMPLIANCE));
            isHeadComplete = false;
        }
        if (isHeadComplete) {
            parseNext(in);
            return;
        }
        int start = in.position();
        parseNext(in);
        memory.reserveHead(in.position() - start);
        if (isHeadComplete && failure == null && !isComplete()) {
            // An empty body is complete without further bytes.
            parseNext(in);
        }
    }

    private void parseNext(ByteBuffer in) throws BadRequestException {
        try {
            parser.parseNext(in);
        } catch (RuntimeException e) {
            // Jetty throws for some malformed messages, and calls badMessage() for others.
            throw BadRequestException.malformed("no HTTP message");
        }
    }

    /** Returns the number of header fields that the current message occupies memory with. */
    int keptFieldCount() {
        return fields.size();
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

    @Override
    public void startRequest(String newMethod, String newTarget, HttpVersion version) {
        method = newMethod;
        target = newTarget;
        repeatedField = null;
        beginMessage(version);
    }

    /** Records a repeated single-value field. A field that is a list may be repeated. */
    @Override
    protected void onRepeatedField(String name) {
        repeatedField = SINGLE_VALUE_FIELDS.contains(name) ? name : repeatedField;
    }

    @Override
    public boolean headerComplete() {
        isHeadComplete = true;
        if (repeatedField != null) {
            failure = BadRequestException.malformed(repeatedField + " comes more than once");
        } else if (!isBodyLengthUnambiguous()) {
            failure = BadRequestException.malformed("the body's end cannot be told for certain");
        } else if (fields.containsKey("expect")) {
            failure =
                    new BadRequestException(
                            HttpStatus.EXPECTATION_FAILED_417, "the body must come unasked");
        } else if (parser.getContentLength() > RequestBody.MAX_BYTES) {
            failure = RequestBody.tooLarge();
        }
        // The parser stops here, so that its position is the end of the head.
        return true;
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
            failure = e;
            return true;
        }
    }

    @Override
    public void earlyEOF() {
        failure = BadRequestException.malformed("the message ends early");
    }

    @Override
    public void badMessage(HttpException cause) {
        failure =
                new BadRequestException(
                        responseStatus(cause.getCode()), String.valueOf(cause.getReason()));
    }

    /** Maps a status of the parser to one that the protocol for clients defines. */
    private static int responseStatus(int parserStatus) {
        return switch (parserStatus) {
            case HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431, HttpStatus.URI_TOO_LONG_414 ->
                    HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431;
            case HttpStatus.PAYLOAD_TOO_LARGE_413 -> HttpStatus.PAYLOAD_TOO_LARGE_413;
            default -> HttpStatus.BAD_REQUEST_400;
        };
    }
}
