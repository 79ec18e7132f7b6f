package wheelroute;

import static wheelroute.net.HttpMessages.readMessage;
import static wheelroute.net.HttpMessages.send;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.locks.LockSupport;

/**
 * A client that sends requests one after the other on an open connection, often leaves before the
 * response, and sends most requests again, with the same id or, as a retry, with a new one. A
 * request without a key is sent again with its id only.
 */
final class RepeatingClient implements AutoCloseable {
    private static final int MAX_REPEATS = 3;
    private static final int MIN_TIMEOUT_MILLIS = 500;
    private static final int MAX_TIMEOUT_MILLIS = 3000;

    /** How long after its timeout a client still waits for the response that it is owed. */
    private static final int GRACE_MILLIS = 1000;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final int port;
    private final Random random;
    private final boolean keyed;
    private final String name;
    private final List<String> unanswered = Collections.synchronizedList(new ArrayList<>());
    private Socket connection;
    private int sent;

    RepeatingClient(int port, long seed, boolean keyed, int number) {
        this.port = port;
        random = new Random(seed);
        this.keyed = keyed;
        name = (keyed ? "key" : "single") + number + "x";
    }

    /** Sends requests until a time in seconds of the monotonic clock. */
    void run(double until) {
        for (int request = 0; System.nanoTime() / NANOS_PER_SECOND < until; request++) {
            String key = name + request;
            int repeats = random.nextInt(MAX_REPEATS + 1);
            for (int i = 0; i <= repeats; i++) {
                boolean newId = keyed && random.nextInt(4) > 0;
                sendOnce(newId ? "id" + name + sent++ : key, key);
                LockSupport.parkNanos(random.nextInt(1200) * NANOS_PER_MILLI);
            }
        }
    }

    private void sendOnce(String id, String key) {
        int timeoutMillis =
                MIN_TIMEOUT_MILLIS + random.nextInt(MAX_TIMEOUT_MILLIS - MIN_TIMEOUT_MILLIS);
        boolean leaves = random.nextInt(3) == 0;
        int patienceMillis = leaves ? 10 + random.nextInt(400) : timeoutMillis + GRACE_MILLIS;
        boolean resets = random.nextBoolean();
        try {
            if (connection == null) {
                connection = new Socket(InetAddress.getLoopbackAddress(), port);
            }
            connection.setSoTimeout(patienceMillis);
            send(
                    connection,
                    "POST /"
                            + (keyed ? "keyed" : "single")
                            + " HTTP/1.1\r\nHost: a\r\n"
                            + "X-Request-ID: "
                            + id
                            + (keyed ? "\r\nIdempotency-Key: " + key : "")
                            + "\r\nX-Timeout: "
                            + timeoutMillis / 1000.0
                            + "\r\nX-Cost: 1000\r\nContent-Length: 2\r\n\r\nhi");
            boolean isLast = readMessage(connection.getInputStream()).contains("Connection: close");
            if (isLast) {
                disconnect(false);
            }
        } catch (SocketTimeoutException e) {
            if (!leaves) {
                unanswered.add(id + " after " + patienceMillis + " ms");
            }
            disconnect(resets);
        } catch (IOException e) {
            // The process was killed or has ended.
            disconnect(false);
        }
    }

    private void disconnect(boolean resets) {
        try {
            if (connection != null) {
                connection.setSoLinger(resets, 0);
                connection.close();
            }
        } catch (IOException e) {
            // It is closed already.
        }
        connection = null;
    }

    /** Returns the requests for which no response came in time on an open connection. */
    List<String> unanswered() {
        return List.copyOf(unanswered);
    }

    @Override
    public void close() {
        disconnect(false);
    }
}
