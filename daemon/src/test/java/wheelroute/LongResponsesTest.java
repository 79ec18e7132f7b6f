package wheelroute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static wheelroute.net.HttpMessages.RESPONSE_HEAD;
import static wheelroute.net.HttpMessages.exchange;
import static wheelroute.net.HttpMessages.readMessage;
import static wheelroute.net.HttpMessages.send;
import static wheelroute.net.HttpMessages.statusOf;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Guards against running out of memory while many long responses have arrived only in part. */
public class LongResponsesTest {
    private static final int TIMEOUT_MILLIS = 90_000;
    private static final int READ_TIMEOUT_MILLIS = 30_000;

    private static final int DESCRIPTORS = 512;
    private static final int WORKERS = 12;

    /** As many as fit into the memory for bodies; their responses take three times the memory. */
    private static final int REQUESTS = 150;

    /** So many long responses together with the bodies exceed the heap. */
    private static final int MIN_RESPONSES = 125;

    private static final int BODY_BYTES = 24_000;
    private static final String RESULT = "r".repeat(65_000);
    private static final int FIRST_PART_BYTES = 60_000;
    private static final long POLL_NANOS = 1_000_000;

    private final List<AutoCloseable> resources = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger incompleteResponses = new AtomicInteger();
    private final CountDownLatch completeResponses = new CountDownLatch(1);
    private final Queue<Integer> statuses = new ConcurrentLinkedQueue<>();

    /** Starts a worker that sends the rest of its responses when the test permits it. */
    private int startWorker() throws IOException {
        ServerSocket server = new ServerSocket(0, REQUESTS, InetAddress.getLoopbackAddress());
        resources.add(server);
        BackgroundTask.acceptAll(server, resources, this::respond);
        return server.getLocalPort();
    }

    private void respond(Socket socket) throws Exception {
        String id =
                readMessage(socket.getInputStream())
                        .replaceAll("(?s).*X-Request-ID: (\\w+).*", "$1");
        String line = "{\"id\":\"" + id + "\",\"state\":\"done\",\"result\":\"" + RESULT + "\"}\n";
        send(socket, RESPONSE_HEAD + Integer.toHexString(line.length()) + "\r\n");
        send(socket, line.substring(0, FIRST_PART_BYTES));
        incompleteResponses.incrementAndGet();
        completeResponses.await();
        send(socket, line.substring(FIRST_PART_BYTES) + "\r\n0\r\n\r\n");
    }

    private void sendRequest(int port, int number) throws IOException {
        Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
        resources.add(client);
        client.setSoTimeout(READ_TIMEOUT_MILLIS);
        String request =
                "POST /job/x HTTP/1.1\r\nHost: a\r\nX-Request-ID: r"
                        + number
                        + "\r\nX-Timeout: 60\r\nX-Cost: 20000\r\nContent-Length: "
                        + BODY_BYTES
                        + "\r\n\r\n"
                        + "b".repeat(BODY_BYTES);
        statuses.add(statusOf(exchange(client, request)));
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void answersAllRequestsWhoseResponsesExceedTheHeapTogether() throws Exception {
        List<Integer> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            workers.add(startWorker());
        }
        DispatcherProcess process =
                LoadedProcess.start(
                        resources,
                        DESCRIPTORS,
                        workers,
                        "\"on_time_us\":50000000,\"hard_limit_us\":60000000",
                        "\"cancel\":false,\"most_tries\":1");
        for (int i = 0; i < REQUESTS; i++) {
            int number = i;
            BackgroundTask.start(() -> sendRequest(process.port(), number));
        }
        while (incompleteResponses.get() + statuses.size() < REQUESTS) {
            assertTrue(process.isAlive(), process.log());
            LockSupport.parkNanos(POLL_NANOS);
        }
        completeResponses.countDown();
        while (statuses.size() < REQUESTS) {
            assertTrue(process.isAlive(), process.log());
            LockSupport.parkNanos(POLL_NANOS);
        }
        assertEquals(process.terminate(), 0, process.log());
        assertEquals(
                Collections.frequency(statuses, 200), incompleteResponses.get(), process.log());
        // The policy rejects some requests before they are sent.
        assertEquals(
                Collections.frequency(statuses, 503),
                REQUESTS - incompleteResponses.get(),
                process.log());
        assertTrue(incompleteResponses.get() >= MIN_RESPONSES, process.log());
    }

    @AfterMethod(alwaysRun = true)
    public void closeResources() throws Exception {
        completeResponses.countDown();
        for (AutoCloseable resource : new ArrayList<>(resources)) {
            resource.close();
        }
        resources.clear();
    }
}
