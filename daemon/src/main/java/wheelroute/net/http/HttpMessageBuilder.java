package wheelroute.net.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Writes one HTTP message: a first line, header fields, a body. */
public final class HttpMessageBuilder {
    /** In characters; longer heads make the buffer grow. */
    private static final int USUAL_HEAD_SIZE = 256;

    private final StringBuilder head = new StringBuilder(USUAL_HEAD_SIZE);

    /**
     * Begins a message.
     *
     * @param firstLine the request line or status line, without its end
     */
    public HttpMessageBuilder(String firstLine) {
        head.append(firstLine).append("\r\n");
    }

    /** Adds a header field; a null value leaves it out. */
    public HttpMessageBuilder field(String name, String value) {
        if (value != null) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
        return this;
    }

    /**
     * Ends the message with a body. Two buffers, to be written at once: bodies are large and must
     * not be copied for each send.
     */
    public ByteBuffer[] body(byte[] body) {
        return new ByteBuffer[] {
            field("Content-Length", Integer.toString(body.length)).noBody(), ByteBuffer.wrap(body)
        };
    }

    /** Ends the message without a body. */
    public ByteBuffer noBody() {
        return ByteBuffer.wrap(head.append("\r\n").toString().getBytes(StandardCharsets.UTF_8));
    }
}
