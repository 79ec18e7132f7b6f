package wheelroute.net.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Builds one HTTP message: a first line, header fields and a body. Not thread-safe. */
public final class HttpMessageBuilder {
    /** The initial size of the head in characters, which is rarely exceeded. */
    private static final int TYPICAL_HEAD_LENGTH = 256;

    private final StringBuilder head = new StringBuilder(TYPICAL_HEAD_LENGTH);

    /**
     * Creates a builder.
     *
     * @param firstLine the request line or status line, without its end
     */
    public HttpMessageBuilder(String firstLine) {
        head.append(firstLine).append("\r\n");
    }

    /** Adds a header field, unless its value is null. */
    public HttpMessageBuilder field(String name, String value) {
        if (value != null) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
        return this;
    }

    /**
     * Returns the message with a body, as two buffers to be written together. The body, which may
     * be large, is not copied.
     */
    public ByteBuffer[] body(byte[] body) {
        return new ByteBuffer[] {
            field("Content-Length", Integer.toString(body.length)).noBody(), ByteBuffer.wrap(body)
        };
    }

    /** Returns the message without a body. */
    public ByteBuffer noBody() {
        return ByteBuffer.wrap(head.append("\r\n").toString().getBytes(StandardCharsets.UTF_8));
    }
}
