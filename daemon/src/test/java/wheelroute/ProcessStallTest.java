package wheelroute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static wheelroute.net.HttpMessages.HEALTH_CHECK;
import static wheelroute.net.HttpMessages.exchange;
import static wheelroute.net.HttpMessages.readMessage;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that a process suspended for seconds starts no attempt past its client's deadline. */
public class ProcessStallTest {
    private static final int TIMEOUT_MILLIS = 60_000;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Time allowed for an attempt to reach its worker after its start. */
    private static final double MAX_TRANSIT_SECONDS = 0.05;

    private static final int WORKER_COUNT = 40;
    private static final int WORKER_SLOTS = 4;
    private static final double REQUESTS_PER_SECOND = 100;
    private static final double SECONDS_BEFORE_STALL = 1.5;
    private static final double STALL_SECONDS = 4;
    private static final double SECONDS_AFTER_STALL = 1.5;
    private static final double JOB_SECONDS = 1;

    private final List<AutoCloseable> resources = new ArrayList<>();

    /** The deadline of each request by its id, on the clock of {@link #now()}. */
    private final Map<String, Double> deadlines = new ConcurrentHashMap<>();

    private final Queue<String> lateAttempts = new ConcurrentLinkedQueue<>();
    private final AtomicInteger attempts = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger succeeded = new AtomicInteger();

    private static double now() {
        return System.nanoTime() / NANOS_PER_SECOND;
    }

    private static String headerValue(String head, String name) {
        int at = head.indexOf(name + ": ") + name.length() + 2;
        return head.substring(at, head.indexOf("\r\n", at));
    }

    private InetSocketAddress listenAsWorker() throws IOException {
        ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        resources.add(server);
        AtomicInteger busySlots = new AtomicInteger();
        BackgroundTask.start(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        BackgroundTask.start(() -> handleRequests(socket, busySlots));
                    }
                });
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }

    /** Runs each request in one of the worker's slots, or rejects the request if none is free. */
    private void handleRequests(Socket socket, AtomicInteger busySlots) throws Exception {
        try (socket) {
            while (true) {
                String head = readMessage(socket.getInputStream());
                double arrivedAt = now();
                String id = headerValue(head, "X-Request-ID");
                attempts.incrementAndGet();
                double secondsPastDeadline = arrivedAt - deadlines.get(id);
                if (secondsPastDeadline > MAX_TRANSIT_SECONDS) {
                    lateAttempts.add(
                            String.format(Locale.ROOT, "%s by %.3f", id, secondsPastDeadline));
                }
                String answer = "HTTP/1.1 503 X\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
                if (busySlots.incrementAndGet() <= WORKER_SLOTS) {
                    String line = "{\"id\":\"" + id + "\",\"state\":\"STATE\",\"result\":\"x\"}";
                    socket.getOutputStream()
                            .write(
                                    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                                    + chunk(line.replace("STATE", "started")))
                                            .getBytes(StandardCharsets.UTF_8));
                    TimeUnit.NANOSECONDS.sleep((long) (JOB_SECONDS * NANOS_PER_SECOND));
                    answer = chunk(line.replace("STATE", "done")) + "0\r\n\r\n";
                }
                busySlots.decrementAndGet();
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
            }
        }
    }

    private static String config(
            InetSocketAddress discovery, List<InetSocketAddress> workers, boolean ordered) {
        StringBuilder endpoints = new StringBuilder();
        for (InetSocketAddress worker : workers) {
            endpoints
                    .append(endpoints.length() > 0 ? "," : "")
                    .append("{\"id\":\"w")
                    .append(worker.getPort())
                    .append("\",\"addr\":\"127.0.0.1:")
                    .append(worker.getPort())
                    .append("\",\"zone\":\"here\",\"kind\":\"m\",\"cell\":1,\"state\":\"ready\"}");
        }
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"admin\":\"127.0.0.1:0\","
                + "\"discovery\":\"127.0.0.1:"
                + discovery.getPort()
                + "\",\"limits\":{\"sockets\":4096},"
                + "\"known\":{\"version\":5,\"full\":true,\"servers\":["
                + endpoints
                + "]},\"settings\":{\"request_classes\":[{\"name\":"
                + "\"job\",\"effect\":\"never\",\"on_time_us\":4000000,\"aim_stretch\":3,\"worth\":1,"
                + "\"one_at_a_time\":"
                + ordered
                + ",\"hard_limit_us\":30000000}],"
                + "\"family_info\":{\"tells_start\":true},\"permissions\":{"
                + "\"cancel\":true,\"most_tries\":6,\"connect_timeout_us\":500000}}}";
    }

    /**
     * Sends a request and waits for the response, even past the timeout of the request.
     *
     * @param openConnection the connection to send on; null to open one
     */
    private void submit(
            Socket openConnection,
            int port,
            String id,
            double timeoutSeconds,
            CountDownLatch responded)
            throws Exception {
        try (Socket socket =
                openConnection != null
                        ? openConnection
                        : new Socket(InetAddress.getLoopbackAddress(), port)) {
            byte[] message =
                    ("POST /job/x HTTP/1.1\r\nHost: a\r\nX-Request-ID: "
                                    + id
                                    + "\r\nX-Timeout: "
                                    + String.format(Locale.ROOT, "%.3f", timeoutSeconds)
                                    + "\r\nX-Cost: 1000000"
                                    + "\r\nX-Route-Key: k"
                                    + id.charAt(id.length() - 1)
                                    + "\r\nContent-Length: 2\r\n\r\nhi")
                            .getBytes(StandardCharsets.UTF_8);
            // The timeout starts after the connection is open, since connecting may take long.
            deadlines.put(id, now() + timeoutSeconds);
            socket.getOutputStream().write(message);
            int status = Integer.parseInt(readMessage(socket.getInputStream()).split(" ")[1]);
            answered.incrementAndGet();
            if (status == 200) {
                succeeded.incrementAndGet();
            }
        } finally {
            responded.countDown();
        }
    }

    @DataProvider
    public Object[][] loads() {
        // Each row holds the timeout in seconds, whether connections are opened in advance, and
        // whether requests of one routing key run one at a time.
        return new Object[][] {
            {2.5, false, false}, {3.8, false, false}, {2.5, true, false}, {3.8, true, true}
        };
    }

    @Test(dataProvider = "loads", timeOut = TIMEOUT_MILLIS)
    public void startsNoAttemptPastClientDeadline(
            double timeoutSeconds, boolean connectInAdvance, boolean ordered) throws Exception {
        DispatcherProcess process = startProcess(ordered);
        int count =
                (int)
                        (REQUESTS_PER_SECOND
                                * (SECONDS_BEFORE_STALL + STALL_SECONDS + SECONDS_AFTER_STALL));
        List<Socket> sockets = connectInAdvance ? connect(process.port(), count) : List.of();
        CountDownLatch responded = new CountDownLatch(count);
        double startedAt = now();
        boolean stopped = false;
        boolean resumed = false;
        for (int i = 0; i < count; i++) {
            double at = i / REQUESTS_PER_SECOND;
            LockSupport.parkNanos((long) ((startedAt + at - now()) * NANOS_PER_SECOND));
            if (!stopped && at >= SECONDS_BEFORE_STALL) {
                stopped = true;
                process.signal("STOP");
            } else if (!resumed && at >= SECONDS_BEFORE_STALL + STALL_SECONDS) {
                resumed = true;
                process.signal("CONT");
            }
            Socket socket = connectInAdvance ? sockets.get(i) : null;
            String id = "j" + i;
            BackgroundTask.start(
                    () -> submit(socket, process.port(), id, timeoutSeconds, responded));
        }
        assertTrue(
                responded.await(TIMEOUT_MILLIS / 3, TimeUnit.MILLISECONDS),
                responded.getCount() + " requests without a response");
        assertEquals(answered.get(), count);
        assertTrue(
                lateAttempts.isEmpty(),
                "attempts started past the deadline, of " + attempts + ": " + lateAttempts);
        awaitSuccessfulRequest(process.port(), count, timeoutSeconds);
    }

    private DispatcherProcess startProcess(boolean ordered) throws Exception {
        ServerSocket discovery = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        resources.add(discovery);
        List<InetSocketAddress> workers = new ArrayList<>();
        for (int i = 0; i < WORKER_COUNT; i++) {
            workers.add(listenAsWorker());
        }
        InetSocketAddress address = (InetSocketAddress) discovery.getLocalSocketAddress();
        DispatcherProcess process =
                DispatcherProcess.start(
                        Files.createTempDirectory("wheelroute"),
                        config(address, workers, ordered),
                        0);
        resources.add(process);
        return process;
    }

    /** Opens connections and exchanges one message on each. */
    private static List<Socket> connect(int port, int count) throws IOException {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            exchange(socket, HEALTH_CHECK);
            sockets.add(socket);
        }
        return sockets;
    }

    /** Sends requests until one succeeds; a process that has a backlog may reject some. */
    private void awaitSuccessfulRequest(int port, int firstNumber, double timeoutSeconds)
            throws Exception {
        int succeededBefore = succeeded.get();
        for (int i = firstNumber; succeeded.get() == succeededBefore; i++) {
            submit(null, port, "j" + i, timeoutSeconds, new CountDownLatch(1));
        }
    }

    @AfterMethod(alwaysRun = true)
    public void closeResources() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        resources.clear();
        deadlines.clear();
        lateAttempts.clear();
        attempts.set(0);
        answered.set(0);
        succeeded.set(0);
    }
}
