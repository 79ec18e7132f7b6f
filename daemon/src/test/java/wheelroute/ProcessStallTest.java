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

/** A process that is stopped for a while: no attempt is started past the deadline of its client. */
public class ProcessStallTest {
    private static final int TIMEOUT_MILLIS = 60_000;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Time for an attempt to reach its worker after it was started. */
    private static final double MAX_DELAY_SECONDS = 0.05;

    private static final int WORKER_COUNT = 40;
    private static final int WORKER_SLOTS = 4;
    private static final double REQUESTS_PER_SECOND = 100;
    private static final double SECONDS_BEFORE_STALL = 1.5;
    private static final double STALL_SECONDS = 4;
    private static final double SECONDS_AFTER_STALL = 1.5;
    private static final double JOB_SECONDS = 1;

    private final List<AutoCloseable> open = new ArrayList<>();

    /** The deadline of each request, by its id. */
    private final Map<String, Double> deadlines = new ConcurrentHashMap<>();

    private final Queue<String> lateAttempts = new ConcurrentLinkedQueue<>();
    private final AtomicInteger attempts = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();

    private static double now() {
        return System.nanoTime() / NANOS_PER_SECOND;
    }

    private static String field(String head, String name) {
        int at = head.indexOf(name + ": ") + name.length() + 2;
        return head.substring(at, head.indexOf("\r\n", at));
    }

    private InetSocketAddress listenAsWorker() throws IOException {
        ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        open.add(server);
        AtomicInteger busy = new AtomicInteger();
        BackgroundTask.start(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        BackgroundTask.start(() -> work(socket, busy));
                    }
                });
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }

    /** Runs each request in one of the worker's slots, and rejects it if all are in use. */
    private void work(Socket socket, AtomicInteger busy) throws Exception {
        try (socket) {
            while (true) {
                String head = readMessage(socket.getInputStream());
                double receivedAt = now();
                String id = field(head, "X-Request-ID");
                attempts.incrementAndGet();
                double delaySeconds = receivedAt - deadlines.get(id);
                if (delaySeconds > MAX_DELAY_SECONDS) {
                    lateAttempts.add(String.format(Locale.ROOT, "%s by %.3f", id, delaySeconds));
                }
                String answer = "HTTP/1.1 503 X\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
                if (busy.incrementAndGet() <= WORKER_SLOTS) {
                    String line = "{\"id\":\"" + id + "\",\"state\":\"STATE\",\"result\":\"x\"}";
                    socket.getOutputStream()
                            .write(
                                    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                                    + chunk(line.replace("STATE", "started")))
                                            .getBytes(StandardCharsets.UTF_8));
                    TimeUnit.NANOSECONDS.sleep((long) (JOB_SECONDS * NANOS_PER_SECOND));
                    answer = chunk(line.replace("STATE", "done")) + "0\r\n\r\n";
                }
                busy.decrementAndGet();
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

    /** Sends a request, and waits for the response beyond its timeout with the connection open. */
    private void submit(
            Socket connected, int port, String id, double timeoutSeconds, CountDownLatch done)
            throws Exception {
        try (Socket socket =
                connected != null
                        ? connected
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
            // The timeout starts here, as the connect may have taken a while.
            deadlines.put(id, now() + timeoutSeconds);
            socket.getOutputStream().write(message);
            int status = Integer.parseInt(readMessage(socket.getInputStream()).split(" ")[1]);
            answered.incrementAndGet();
            if (status == 200) {
                served.incrementAndGet();
            }
        } finally {
            done.countDown();
        }
    }

    @DataProvider
    public Object[][] loads() {
        // Timeout in seconds, whether connections are opened beforehand, whether keys are ordered.
        return new Object[][] {
            {2.5, false, false}, {3.8, false, false}, {2.5, true, false}, {3.8, true, true}
        };
    }

    @Test(dataProvider = "loads", timeOut = TIMEOUT_MILLIS)
    public void startsNoAttemptPastClientDeadline(
            double timeoutSeconds, boolean connectedBefore, boolean ordered) throws Exception {
        ServedProcess process = startProcess(ordered);
        int count =
                (int)
                        (REQUESTS_PER_SECOND
                                * (SECONDS_BEFORE_STALL + STALL_SECONDS + SECONDS_AFTER_STALL));
        List<Socket> sockets = connectedBefore ? connect(process.port(), count) : List.of();
        CountDownLatch done = new CountDownLatch(count);
        double begin = now();
        boolean stopped = false;
        boolean resumed = false;
        for (int i = 0; i < count; i++) {
            double at = i / REQUESTS_PER_SECOND;
            LockSupport.parkNanos((long) ((begin + at - now()) * NANOS_PER_SECOND));
            if (!stopped && at >= SECONDS_BEFORE_STALL) {
                stopped = true;
                process.signal("STOP");
            } else if (!resumed && at >= SECONDS_BEFORE_STALL + STALL_SECONDS) {
                resumed = true;
                process.signal("CONT");
            }
            Socket socket = connectedBefore ? sockets.get(i) : null;
            String id = "j" + i;
            BackgroundTask.start(() -> submit(socket, process.port(), id, timeoutSeconds, done));
        }
        assertTrue(
                done.await(TIMEOUT_MILLIS / 3, TimeUnit.MILLISECONDS),
                done.getCount() + " without an answer");
        assertEquals(answered.get(), count);
        assertTrue(
                lateAttempts.isEmpty(),
                "started too late, of " + attempts + " attempts: " + lateAttempts);
        awaitServedRequest(process.port(), count, timeoutSeconds);
    }

    private ServedProcess startProcess(boolean ordered) throws Exception {
        ServerSocket discovery = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        open.add(discovery);
        List<InetSocketAddress> workers = new ArrayList<>();
        for (int i = 0; i < WORKER_COUNT; i++) {
            workers.add(listenAsWorker());
        }
        InetSocketAddress address = (InetSocketAddress) discovery.getLocalSocketAddress();
        ServedProcess process =
                ServedProcess.start(
                        Files.createTempDirectory("wheelroute"),
                        config(address, workers, ordered),
                        0);
        open.add(process);
        return process;
    }

    /** Opens connections, each of which has exchanged one message. */
    private static List<Socket> connect(int port, int count) throws IOException {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            exchange(socket, HEALTH_CHECK);
            sockets.add(socket);
        }
        return sockets;
    }

    /** Sends requests until one succeeds; until the process has caught up it may reject them. */
    private void awaitServedRequest(int port, int firstNumber, double timeoutSeconds)
            throws Exception {
        int servedBefore = served.get();
        for (int i = firstNumber; served.get() == servedBefore; i++) {
            submit(null, port, "j" + i, timeoutSeconds, new CountDownLatch(1));
        }
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        for (AutoCloseable one : open) {
            one.close();
        }
        open.clear();
        deadlines.clear();
        lateAttempts.clear();
        attempts.set(0);
        answered.set(0);
        served.set(0);
    }
}
