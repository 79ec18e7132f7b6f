package wheelroute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static wheelroute.net.HttpMessages.SUCCESS;
import static wheelroute.net.HttpMessages.exchange;
import static wheelroute.net.HttpMessages.readMessage;
import static wheelroute.net.HttpMessages.send;
import static wheelroute.net.HttpMessages.statusOf;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against clients that send at full speed on their connections, so that other clients get
 * their responses late or never, or the process runs out of memory.
 */
public class FloodingClientsTest {
    private static final int TIMEOUT_MILLIS = 90_000;

    private static final int DESCRIPTORS = 512;
    private static final int FLOODING_CLIENTS = 48;
    private static final int USUAL_REQUESTS = 60;
    private static final double TIMEOUT_SECONDS = 2;

    /** By the acceptance terms, a later response counts as lost. */
    private static final double MAX_OVERRUN_SECONDS = 0.5;

    private static final String COSTLY = "X-Cost: 90000000\r\n";
    private static final String NEW_NAMES = "X-Route-Key: kN\r\nX-Tenant-Id: tN\r\n";
    private static final int USUAL_INTERVAL_MILLIS = 100;
    private static final int BATCH_BYTES = 64 * 1024;
    private static final int READ_BYTES = 64 * 1024;

    private final List<AutoCloseable> resources = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger requestNumber = new AtomicInteger();
    private volatile boolean flooding;

    /**
     * What the flooding clients send.
     *
     * @param request in which {@code N} stands for a number that each request has alone
     * @param overloadsWorker whether the worker would need hours for the requests, so that usual
     *     ones may be rejected, too
     */
    private record Flood(String name, String request, boolean overloadsWorker) {
        Flood(String name, String request) {
            this(name, request, false);
        }

        @Override
        public String toString() {
            return name;
        }
    }

    @DataProvider
    public Object[][] floods() {
        String end = " HTTP/1.1\r\nHost: a\r\n";
        String job = end + "X-Request-ID: fN\r\nX-Timeout: 20\r\n";
        String empty = "Content-Length: 0\r\n\r\n";
        return new Object[][] {
            {new Flood("requests of one unknown class", "POST /unknown" + job + empty)},
            {new Flood("requests of ever new unknown classes", "POST /cN" + job + empty)},
            {new Flood("requests without an id", "POST /job" + end + empty)},
            {new Flood("malformed timeouts", "POST /job" + job.replace("20", "x") + empty)},
            {new Flood("health checks", "GET /healthz" + end + "\r\n")},
            {new Flood("no HTTP", "\0\0\0\0\r\n")},
            {new Flood("requests that are rejected", "POST /job" + job + COSTLY + empty, true)},
            {
                new Flood(
                        "requests with ever new keys and tenants",
                        "POST /job" + job + NEW_NAMES + COSTLY + empty,
                        true)
            },
        };
    }

    private int startWorker() throws IOException {
        ServerSocket server = new ServerSocket(0, USUAL_REQUESTS, InetAddress.getLoopbackAddress());
        resources.add(server);
        BackgroundTask.acceptAll(server, resources, FloodingClientsTest::respond);
        return server.getLocalPort();
    }

    private static void respond(Socket socket) throws IOException {
        while (true) {
            String id =
                    readMessage(socket.getInputStream())
                            .replaceAll("(?s).*X-Request-ID: (\\w+).*", "$1");
            // The ids of usual requests are as long as the placeholder, so the chunk length is
            // right.
            send(socket, SUCCESS.replace("ID", id));
        }
    }

    /** Sends at full speed, reads what comes back, and connects again whenever that ends. */
    private void flood(int port, Flood flood) throws InterruptedException {
        while (flooding) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                BackgroundTask.start(() -> discardInput(socket));
                while (flooding) {
                    socket.getOutputStream().write(batch(flood));
                }
            } catch (IOException e) {
                // The dispatcher has closed the connection.
            }
        }
    }

    private byte[] batch(Flood flood) {
        StringBuilder text = new StringBuilder();
        while (text.length() < BATCH_BYTES) {
            text.append(
                    flood.request.replace("N", Integer.toString(requestNumber.incrementAndGet())));
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void discardInput(Socket socket) throws IOException {
        byte[] buffer = new byte[READ_BYTES];
        int count;
        do {
            count = socket.getInputStream().read(buffer);
        } while (count >= 0);
    }

    /** Sends a usual request on a new connection, and records how long the response takes. */
    private void sendUsual(
            int port, int number, Flood flood, Queue<String> problems, CountDownLatch answered) {
        long start = System.nanoTime();
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.setSoTimeout((int) (2 * TIMEOUT_SECONDS * 1000));
            String request =
                    "POST /job/x HTTP/1.1\r\nHost: a\r\nX-Request-ID: "
                            + (10 + number)
                            + "\r\nX-Timeout: "
                            + TIMEOUT_SECONDS
                            + "\r\nX-Cost: 1000\r\nContent-Length: 2\r\n\r\nhi";
            int status = statusOf(exchange(client, request));
            double seconds = (System.nanoTime() - start) / 1e9;
            boolean isExpected = status == 200 || (status == 503 && flood.overloadsWorker);
            if (!isExpected || seconds > TIMEOUT_SECONDS + MAX_OVERRUN_SECONDS) {
                problems.add("request " + number + ": " + status + " after " + seconds + " s");
            }
        } catch (IOException e) {
            double seconds = (System.nanoTime() - start) / 1e9;
            problems.add("request " + number + ": " + e + " after " + seconds + " s");
        } finally {
            answered.countDown();
        }
    }

    @Test(dataProvider = "floods", timeOut = TIMEOUT_MILLIS)
    public void answersUsualRequestsInTimeBesideFloodingClients(Flood flood) throws Exception {
        DispatcherProcess process =
                LoadedProcess.start(
                        resources,
                        DESCRIPTORS,
                        List.of(startWorker()),
                        "\"on_time_us\":500000,\"hard_limit_us\":20000000",
                        "\"cancel\":true,\"most_tries\":3");
        flooding = true;
        for (int i = 0; i < FLOODING_CLIENTS; i++) {
            BackgroundTask.start(() -> flood(process.port(), flood));
        }
        Queue<String> problems = new ConcurrentLinkedQueue<>();
        CountDownLatch answered = new CountDownLatch(USUAL_REQUESTS);
        for (int i = 0; i < USUAL_REQUESTS; i++) {
            int number = i;
            BackgroundTask.start(
                    () -> sendUsual(process.port(), number, flood, problems, answered));
            Thread.sleep(USUAL_INTERVAL_MILLIS);
        }
        answered.await();
        flooding = false;
        assertTrue(process.isAlive(), process.log());
        assertTrue(problems.isEmpty(), problems + "\n" + process.log());
        assertEquals(process.terminate(), 0, process.log());
    }

    @AfterMethod(alwaysRun = true)
    public void closeResources() throws Exception {
        flooding = false;
        for (AutoCloseable resource : new ArrayList<>(resources)) {
            resource.close();
        }
        resources.clear();
    }
}
