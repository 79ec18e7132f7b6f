package wheelroute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
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

/**
 * A process that stands still for a while, as by a signal, a frozen machine or a long collection.
 */
public class StandstillTest {
    private static final int PATIENCE = 60_000;
    private static final double NANOS = 1e9;

    /** No attempt begins so long after the time that its client gave. */
    private static final double GRACE = 0.05;

    private static final int WORKERS = 40;
    private static final int SLOTS = 4;
    private static final double RATE = 100;
    private static final double BEFORE = 1.5;
    private static final double STOP = 4;
    private static final double AFTER = 1.5;
    private static final double RUN = 1;

    private final List<AutoCloseable> open = new ArrayList<>();

    /** By id: the time that its client gave, and the attempts that workers were handed. */
    private final Map<String, Double> deadlines = new ConcurrentHashMap<>();

    private final Queue<String> late = new ConcurrentLinkedQueue<>();
    private final AtomicInteger attempts = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();

    private static double now() {
        return System.nanoTime() / NANOS;
    }

    /** One message: its head, and as much body as that says. */
    private static String read(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (!out.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("it ended after: " + out);
            }
            out.write(b);
        }
        String head = out.toString(StandardCharsets.ISO_8859_1);
        int at = head.indexOf("Content-Length: ");
        if (at >= 0) {
            in.readNBytes(Integer.parseInt(head.substring(at + 16, head.indexOf("\r\n", at))));
        }
        return head;
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

    /** Runs each for its time in one of its slots, and turns away what finds none. */
    private void work(Socket socket, AtomicInteger busy) throws Exception {
        try (socket) {
            while (true) {
                String head = read(socket.getInputStream());
                double at = now();
                String id = field(head, "X-Request-ID");
                attempts.incrementAndGet();
                double over = at - deadlines.get(id);
                if (over > GRACE) {
                    late.add(String.format(Locale.ROOT, "%s by %.3f", id, over));
                }
                String answer = "HTTP/1.1 503 X\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
                if (busy.incrementAndGet() <= SLOTS) {
                    String line = "{\"id\":\"" + id + "\",\"state\":\"STATE\",\"result\":\"x\"}";
                    socket.getOutputStream()
                            .write(
                                    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                                    + chunk(line.replace("STATE", "started")))
                                            .getBytes(StandardCharsets.UTF_8));
                    TimeUnit.NANOSECONDS.sleep((long) (RUN * NANOS));
                    answer = chunk(line.replace("STATE", "done")) + "0\r\n\r\n";
                }
                busy.decrementAndGet();
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
            }
        }
    }

    private static String config(
            InetSocketAddress discovery, List<InetSocketAddress> workers, boolean inTurn) {
        StringBuilder known = new StringBuilder();
        for (InetSocketAddress worker : workers) {
            known.append(known.length() > 0 ? "," : "")
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
                + known
                + "]},\"settings\":{\"request_classes\":[{\"name\":"
                + "\"job\",\"effect\":\"never\",\"on_time_us\":4000000,\"aim_stretch\":3,\"worth\":1,"
                + "\"one_at_a_time\":"
                + inTurn
                + ",\"hard_limit_us\":30000000}],"
                + "\"family_info\":{\"tells_start\":true},\"permissions\":{"
                + "\"cancel\":true,\"most_tries\":6,\"connect_timeout_us\":500000}}}";
    }

    /** Waits on for whatever is answered, however late, with its connection open. */
    private void submit(Socket connected, int port, String id, double timeout, CountDownLatch done)
            throws Exception {
        try (Socket socket =
                connected != null
                        ? connected
                        : new Socket(InetAddress.getLoopbackAddress(), port)) {
            byte[] message =
                    ("POST /job/x HTTP/1.1\r\nHost: a\r\nX-Request-ID: "
                                    + id
                                    + "\r\nX-Timeout: "
                                    + String.format(Locale.ROOT, "%.3f", timeout)
                                    + "\r\nX-Cost: 1000000"
                                    + "\r\nX-Route-Key: k"
                                    + id.charAt(id.length() - 1)
                                    + "\r\nContent-Length: 2\r\n\r\nhi")
                            .getBytes(StandardCharsets.UTF_8);
            // From here on: its connection may have taken a while.
            deadlines.put(id, now() + timeout);
            socket.getOutputStream().write(message);
            int status = Integer.parseInt(read(socket.getInputStream()).split(" ")[1]);
            answered.incrementAndGet();
            if (status == 200) {
                served.incrementAndGet();
            }
        } finally {
            done.countDown();
        }
    }

    @DataProvider
    public Object[][] clients() {
        // How long they wait, whether they come on connections that were opened before, and in
        // lines of keys.
        return new Object[][] {
            {2.5, false, false}, {3.8, false, false}, {2.5, true, false}, {3.8, true, true}
        };
    }

    /** Clients wait on, with their connections open; no attempt begins past what they gave. */
    @Test(dataProvider = "clients", timeOut = PATIENCE)
    public void nothingBeginsPastItsDeadline(double timeout, boolean kept, boolean inTurn)
            throws Exception {
        ServerSocket discovery = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        open.add(discovery);
        List<InetSocketAddress> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            workers.add(listenAsWorker());
        }
        Path directory = Files.createTempDirectory("wheelroute");
        ServedProcess process =
                ServedProcess.start(
                        directory,
                        config(
                                (InetSocketAddress) discovery.getLocalSocketAddress(),
                                workers,
                                inTurn),
                        0);
        open.add(process);
        int count = (int) (RATE * (BEFORE + STOP + AFTER));
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; kept && i < count; i++) {
            sockets.add(new Socket(InetAddress.getLoopbackAddress(), process.port()));
            sockets.get(i)
                    .getOutputStream()
                    .write(
                            "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"
                                    .getBytes(StandardCharsets.UTF_8));
            read(sockets.get(i).getInputStream());
        }
        CountDownLatch done = new CountDownLatch(count);
        double begin = now();
        boolean stopped = false;
        boolean goesOn = false;
        for (int i = 0; i < count; i++) {
            double at = i / RATE;
            LockSupport.parkNanos((long) ((begin + at - now()) * NANOS));
            if (!stopped && at >= BEFORE) {
                stopped = true;
                process.signal("STOP");
            } else if (!goesOn && at >= BEFORE + STOP) {
                goesOn = true;
                process.signal("CONT");
            }
            Socket socket = kept ? sockets.get(i) : null;
            String id = "j" + i;
            BackgroundTask.start(() -> submit(socket, process.port(), id, timeout, done));
        }
        assertTrue(
                done.await(PATIENCE / 3, TimeUnit.MILLISECONDS),
                done.getCount() + " without an answer");
        assertEquals(answered.get(), count);
        assertTrue(late.isEmpty(), "begun too late, of " + attempts + " attempts: " + late);
        // It goes on serving, once it has caught up: until then it may tell anybody to come back.
        int before = served.get();
        for (int i = count; served.get() == before; i++) {
            submit(null, process.port(), "j" + i, timeout, new CountDownLatch(1));
        }
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        for (AutoCloseable one : open) {
            one.close();
        }
        open.clear();
        deadlines.clear();
        late.clear();
        attempts.set(0);
        answered.set(0);
        served.set(0);
    }
}
