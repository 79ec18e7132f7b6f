package wheelroute.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** One message's bytes: a first line, fields, a body. */
public final class HttpText {
    private static final int USUAL_HEAD = 256;

    private final StringBuilder head = new StringBuilder(USUAL_HEAD);

    public HttpText(String firstLine) {
        head.append(firstLine).append("\r\n");
    }

    /** Left out when there is no value. */
    public HttpText field(String name, String value) {
        if (value != null) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
        return this;
    }

    /**
     * Two buffers, to be written at once: bodies are large and must not be copied for each send.
     */
    public ByteBuffer[] body(byte[] body) {
        return new ByteBuffer[] {
            field("Content-Length", Integer.toString(body.length)).noBody(), ByteBuffer.wrap(body)
        };
    }

    public ByteBuffer noBody() {
        return ByteBuffer.wrap(head.append("\r\n").toString().getBytes(StandardCharsets.UTF_8));
    }
}
