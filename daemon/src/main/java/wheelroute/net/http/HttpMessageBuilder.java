package wheelroute.net.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Builds one HTTP message from its first line, header fields and body. Not thread-safe. */
public final class HttpMessageBuilder {
    /** The initial capacity for the head in characters, which few messages exceed. */
    private static final int TYPICAL_HEAD_LENGTH = 256;

    private final StringBuilder head = new StringBuilder(TYPICAL_HEAD_LENGTH);

    /**
     * Creates a builder of a message without header fields.
     *
     * @param firstLine the request line or status line, without the line break
     */
    public HttpMessageBuilder(String firstLine) {
        head.append(firstLine).append("\r\n");
    }

    /** Adds a header field, unless the value is null. */
    public HttpMessageBuilder field(String name, String value) {
        if (value != null) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
        return this;
    }

    /**
     * Returns the message as two buffers to be written together: the head, with the field
     * Content-Length added, and the body. The body, which may be large, is not copied.
     */
    public ByteBuffer[] body(byte[] body) {
        return new ByteBuffer[] {
            field("Content-Length", Integer.toString(body.length)).noBody(), ByteBuffer.wrap(body)
        };
    }

    /** Returns the message without a body and without the field Content-Length. */
    public ByteBuffer noBody() {
        return ByteBuffer.wrap(head.append("\r\n").toString().getBytes(StandardCharsets.UTF_8));
    }
}
