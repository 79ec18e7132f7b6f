import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A client of a dispatcher: one request at a time on a connection of its own. */
final class Client {
    private static final AtomicLong IDS = new AtomicLong();

    private Client() {}

    /** An answer, or the way in which the connection ended without one (status 0). */
    record Answer(int status, String body, double seconds) {}

    static String newId() {
        return String.format("%016x", 0x5eed000000000000L + IDS.incrementAndGet());
    }

    static String message(
            String path, String id, double timeout, String key, String mark, double costSeconds,
            byte[] body) {
        return "POST /" + path + " HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: " + id
                + "\r\nX-Timeout: " + timeout
                + "\r\nX-Cost: " + Math.round(costSeconds * 1e6)
                + (key == null ? "" : "\r\nX-Route-Key: " + key)
                + (mark == null ? "" : "\r\nIdempotency-Key: " + mark)
                + "\r\nContent-Length: " + body.length + "\r\n\r\n";
    }

    /** Sends one request on a new connection and waits for its answer. */
    static Answer call(
            RunRecord record, InetSocketAddress dispatcher, String path, String id, double timeout,
            String key, String mark, double costSeconds, byte[] body) {
        double sentAt = record.now();
        Answer answer;
        try (Socket socket = new Socket()) {
            socket.connect(dispatcher, 2000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) (timeout * 1000) + 5000);
            socket.getOutputStream()
                    .write(
                            message(path, id, timeout, key, mark, costSeconds, body)
                                    .getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            record.line("client", "sent %s %s key=%s mark=%s to %s", path, id, key, mark, dispatcher.getPort());
            Http got = Http.read(new BufferedInputStream(socket.getInputStream()));
            answer =
                    got == null
                            ? new Answer(0, "closed with no answer", record.now() - sentAt)
                            : new Answer(
                                    got.status(),
                                    new String(got.body, StandardCharsets.UTF_8),
                                    record.now() - sentAt);
        } catch (IOException e) {
            answer = new Answer(0, e.toString(), record.now() - sentAt);
        }
        record.line(
                "client", "answer to %s: %d after %.3f s: %s", id, answer.status(),
                answer.seconds(), Stand.shorten(answer.body(), 80));
        return answer;
    }
}
