package rig;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** As much of HTTP/1.1 as the stand-ins need. */
public final class Http {
    private Http() {}

    /** A message: its first line, its fields by lower-case name, and its body. */
    public record Message(String first, Map<String, String> fields, String body) {
        /** The status of a response. */
        public int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        /** The target of a request. */
        public String target() {
            return first.split(" ")[1];
        }

        public boolean closes() {
            return "close".equalsIgnoreCase(fields.getOrDefault("connection", ""));
        }
    }

    /** Reads one message; null if the stream ends before its first byte. */
    public static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        StringBuilder body = new StringBuilder();
        if ("chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
            for (int size = chunk(in); size > 0; size = chunk(in)) {
                body.append(bytes(in, size));
                line(in);
            }
            line(in);
        } else {
            body.append(bytes(in, Integer.parseInt(fields.getOrDefault("content-length", "0"))));
        }
        return new Message(first, fields, body.toString());
    }

    private static int chunk(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            throw new EOFException("the message ends early");
        }
        return Integer.parseInt(line.trim(), 16);
    }

    private static String bytes(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the message ends early");
        }
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.length() == 0) {
                    return null;
                }
                throw new EOFException("the message ends early");
            }
            if (b != '\r') {
                line.append((char) b);
            }
        }
        return line.toString();
    }

    public static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
