import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A message of HTTP/1.1 with a Content-Length, a chunked body or none. */
final class Http {
    String startLine;
    final Map<String, String> fields = new HashMap<>();
    byte[] body = {};

    /** Returns the next message, or null if the stream ends before its first byte. */
    static Http read(BufferedInputStream in) throws IOException {
        Http message = new Http();
        message.startLine = line(in, true);
        if (message.startLine == null) {
            return null;
        }
        for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
            int colon = line.indexOf(':');
            message.fields.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        if ("chunked".equalsIgnoreCase(message.fields.get("transfer-encoding"))) {
            message.body = chunks(in);
        } else if (message.fields.containsKey("content-length")) {
            message.body = exactly(in, Integer.parseInt(message.fields.get("content-length")));
        }
        return message;
    }

    String field(String name) {
        return fields.get(name);
    }

    /** The status of an answer. */
    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(line(in, false).trim(), 16);
            body.write(exactly(in, size));
            line(in, false);
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the body ends early");
        }
        return bytes;
    }

    private static String line(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (mayEnd && line.size() == 0) {
                    return null;
                }
                throw new EOFException("the message ends early");
            }
            line.write(b);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
