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
import wheelroute.net.MessageReader;

/** Decodes one client connection's bytes, in whatever pieces they come. */
public final class ClientRequestDecoder extends MessageReader implements HttpParser.RequestHandler {
    /** The protocol's limit on bodies. */
    static final int MOST_BODY = 64 * 1024;

    /** Far more than the protocol's headers need, and bounded: many clients share little memory. */
    static final int MOST_HEAD = 8 * 1024;

    private static final double MICROS = 1e6;

    /**
     * No deviation is let through: what two readers may read in two ways could hide a message in
     * another.
     */
    private static final HttpCompliance READING = HttpCompliance.STRICT;

    /**
     * Decimals as a person writes them: what only Java reads ("1e9", "0x1p3", "NaN") no worker need
     * read.
     */
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,12})?");

    /**
     * What a request line may hold (RFC 3986), with whole escapes: anything else a worker may close
     * on. In its first part also letters that are no ASCII, as of platforms that put an offering's
     * name there as it is; they go on byte for byte. It gives nothing back ("*+"): else the matcher
     * calls itself for each character, and a long target ends the thread.
     */
    private static final Pattern TARGET =
            Pattern.compile(
                    "/(?:[A-Za-z0-9:@!$&'()*+,;=._~\u00a0-\ufffc-]|%[0-9A-Fa-f]{2})*+"
                            + "(?:[/?](?:[A-Za-z0-9/?:@!$&'()*+,;=._~-]|%[0-9A-Fa-f]{2})*+)?");

    /** Ids and keys go on as they are: visible characters only, and no more than a line of them. */
    private static final Pattern WORD = Pattern.compile("[!-~]{1,256}");

    /** Fields that are read or go on: of two values each reader might take another. */
    private static final Set<String> SINGLE =
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

    /** What stands for bytes that are no text. */
    private static final char NO_CHARACTER = '\ufffd';

    private final HttpParser parser = lean(new HttpParser(this, MOST_HEAD, READING));
    private final MemoryQuota room;
    private byte[] body = NO_BODY;
    private int filled;
    private int roomTaken;
    private String method;
    private String target;

    /** A field that came more than once and may not; null for none. */
    private String repeated;

    private BadRequestException fault;

    public ClientRequestDecoder(MemoryQuota room) {
        this.room = room;
    }

    /** The last message is done with, and so is its body. */
    public void release() {
        room.giveBack(roomTaken);
        roomTaken = 0;
        filled = 0;
        body = NO_BODY;
    }

    /**
     * The next message, or null when more bytes are wanted; what follows it stays in the buffer.
     */
    public ClientRequest decode(ByteBuffer in) throws BadRequestException {
        while (!isComplete() && fault == null && in.hasRemaining()) {
            try {
                parser.parseNext(in);
            } catch (RuntimeException e) {
                // Some nonsense is told so, the rest as a bad message: neither ends more than its
                // connection.
                throw bad("no HTTP message");
            }
        }
        if (fault != null) {
            throw fault;
        }
        if (!takeComplete()) {
            return null;
        }
        ClientRequest message = message();
        parser.reset();
        return message;
    }

    private ClientRequest message() throws BadRequestException {
        if (!TARGET.matcher(target).matches()) {
            throw bad("the target is no path with a query");
        }
        word("x-request-id");
        word("idempotency-key");
        word("x-route-key");
        String tenant = fields.get("x-tenant-id");
        Map<String, String> attrs = attrs();
        tenant = named(tenant == null ? attrs.getOrDefault("tenant", "") : tenant);
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

    /** The parser reads fields a byte a character; a name as configured may be of more. */
    private static String named(String field) {
        byte[] bytes = field.getBytes(StandardCharsets.ISO_8859_1);
        String name = new String(bytes, StandardCharsets.UTF_8);
        return name.indexOf(NO_CHARACTER) < 0 ? name : field;
    }

    private Map<String, String> attrs() throws BadRequestException {
        Map<String, String> attrs = new HashMap<>();
        String text = fields.getOrDefault("x-attrs", "");
        for (String pair : text.isEmpty() ? new String[0] : text.split(",")) {
            int eq = pair.indexOf('=');
            if (eq < 1) {
                throw bad("X-Attrs is not name=value: " + pair);
            }
            attrs.put(pair.substring(0, eq).trim(), pair.substring(eq + 1).trim());
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

    private void word(String name) throws BadRequestException {
        String value = fields.get(name);
        if (value != null && !WORD.matcher(value).matches()) {
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

    /** Lists may come in several fields of one name; what we read or pass on may not. */
    @Override
    protected void comesAgain(String name) {
        repeated = SINGLE.contains(name) ? name : repeated;
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
        } else if (parser.getContentLength() > MOST_BODY) {
            fault = tooLarge();
        }
        return fault != null;
    }

    private static BadRequestException tooLarge() {
        return new BadRequestException(
                HttpStatus.PAYLOAD_TOO_LARGE_413, "the body is over " + MOST_BODY);
    }

    /**
     * Makes the body so long, or finds fault: too long for the protocol, or for what all may hold.
     */
    private boolean grow(long length) {
        if (length > MOST_BODY) {
            fault = tooLarge();
        } else if (!room.take((int) length - roomTaken)) {
            fault =
                    new BadRequestException(
                            HttpStatus.SERVICE_UNAVAILABLE_503, "no room for the body now");
        } else {
            roomTaken = (int) length;
            body = Arrays.copyOf(body, roomTaken);
        }
        return fault == null;
    }

    @Override
    public boolean content(ByteBuffer piece) {
        int needed = filled + piece.remaining();
        // Room is for what has come, not for what was promised: who stalls must not hold the
        // others' room.
        long most = parser.getContentLength() > 0 ? parser.getContentLength() : MOST_BODY;
        if (needed > body.length && !grow(Math.max(needed, Math.min(2L * body.length, most)))) {
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
