package wheelroute.net;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * The HTTP messages of clients, workers and discovery, as text. {@code ID} in a worker's response
 * stands for the id of the request; {@link StubServer} fills it in.
 */
public final class HttpMessages {
    public static final String RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    public static final String STARTED = progressLine("started");
    public static final String SUCCESS =
            RESPONSE_HEAD + STARTED + progressLine("done") + "0\r\n\r\n";
    public static final String REJECTION =
            "HTTP/1.1 503 X\r\n" + "X-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
    public static final String SERVICE_UNAVAILABLE = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
    public static final String HEALTH_CHECK = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";

    /** A worker's response that begins and is never completed. */
    public static final String ACCEPTED = RESPONSE_HEAD;

    /** Makes {@link StubServer} close the connection instead of responding. */
    public static final String CLOSE = "";

    /** Makes {@link StubServer} close the connection after the start of the job. */
    public static final String START_THEN_CLOSE = RESPONSE_HEAD + STARTED;

    /** Makes {@link StubServer} send no response and keep the connection open. */
    public static final String NO_RESPONSE = null;

    private static final String CONTENT_LENGTH = "Content-Length: ";

    private HttpMessages() {}

    /** Returns one line of a worker's response, as a chunk. */
    public static String progressLine(String state) {
        String line =
                "{\"id\":\"ID\",\"from\":\"w\",\"state\":\"" + state + "\",\"result\":\"fine\"}\n";
        // The ids in the tests are as long as their placeholder, so the chunk length stays
        // correct.
        return Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
    }

    /** Returns a complete endpoint list, version 5, with a ready worker at each address. */
    public static String endpointList(InetSocketAddress... addresses) {
        StringBuilder out = new StringBuilder();
        for (InetSocketAddress address : addresses) {
            out.append(out.length() > 0 ? "," : "")
                    .append("{\"id\":\"w")
                    .append(address.getPort())
                    .append("\",\"addr\":\"127.0.0.1:")
                    .append(address.getPort())
                    .append("\",\"zone\":\"here\",\"kind\":\"m\",\"cell\":1,\"state\":\"ready\"}");
        }
        return "{\"version\":5,\"full\":true,\"servers\":[" + out + "]}";
    }

    /** Returns a client's request with id 77. */
    public static String jobRequest(double timeoutSeconds) {
        return "POST /job/x HTTP/1.1\r\nHost: a\r\nX-Request-ID: 77\r\nIdempotency-Key: k\r\n"
                + "X-Timeout: "
                + String.format(Locale.ROOT, "%.1f", timeoutSeconds)
                + "\r\nX-Cost: 20000\r\nContent-Length: 2\r\n\r\nhi";
    }

    /** Returns a client's request with this id and a timeout of 10 s. */
    public static String jobRequestWithId(int id) {
        return jobRequest(10).replace("77", Integer.toString(id));
    }

    /** Returns a response with status 200 and this body. */
    public static String okResponse(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    public static int statusOf(String response) {
        return Integer.parseInt(response.split(" ")[1]);
    }

    public static void send(Socket socket, String message) throws IOException {
        socket.getOutputStream().write(message.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a message and returns the response. */
    public static String exchange(Socket socket, String message) throws IOException {
        send(socket, message);
        return readMessage(socket.getInputStream());
    }

    /** Reads the head of one message, and as much body as the head announces. */
    public static String readMessage(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (!out.toString(StandardCharsets.UTF_8).endsWith("\r\n\r\n")) {
            copyByte(in, out);
        }
        int bodyLength = contentLength(out.toString(StandardCharsets.UTF_8));
        for (int i = 0; i < bodyLength; i++) {
            copyByte(in, out);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    private static void copyByte(InputStream in, ByteArrayOutputStream out) throws IOException {
        int next = in.read();
        if (next < 0) {
            throw new EOFException(
                    "connection closed before the end of the message, received: " + out);
        }
        out.write(next);
    }

    private static int contentLength(String head) {
        int start = head.indexOf(CONTENT_LENGTH);
        if (start < 0) {
            return 0;
        }
        int valueStart = start + CONTENT_LENGTH.length();
        return Integer.parseInt(head.substring(valueStart, head.indexOf("\r\n", valueStart)));
    }
}
