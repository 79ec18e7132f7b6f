package wheelroute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

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
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A process with few descriptors, all of which clients would take who do nothing, while discovery
 * is down.
 */
public class DescriptorsTest {
    private static final int PATIENCE = 90_000;

    /** Of the process, by its settings and by the system. */
    private static final int DESCRIPTORS = 160;

    private static final int CLIENTS = 600;

    /**
     * Discovery is asked again, and has answered whole, within this of its return; and some for the
     * machine.
     */
    private static final double IN_TIME = 4.8 + 0.5;

    private static final int READING = 20_000;
    private static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";

    private final List<AutoCloseable> open = Collections.synchronizedList(new ArrayList<>());

    private static String head(InputStream in) throws IOException {
        StringBuilder out = new StringBuilder();
        while (out.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("it ended after: " + out);
            }
            out.append((char) b);
        }
        return out.toString();
    }

    /** An answer of a worker's or ours, with its body; its status. */
    private static int answer(Socket socket) throws IOException {
        String head = head(socket.getInputStream());
        int at = head.indexOf("Content-Length: ");
        int length = Integer.parseInt(head.substring(at + 16, head.indexOf("\r\n", at)));
        socket.getInputStream().readNBytes(length);
        return Integer.parseInt(head.split(" ")[1]);
    }

    private Socket connect(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        open.add(socket);
        socket.setSoTimeout(READING);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** An answer with this body. */
    private static void say(Socket socket, String body) throws IOException {
        send(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private static String job(String id) {
        return "POST /job/x HTTP/1.1\r\nHost: a\r\nX-Request-ID: "
                + id
                + "\r\nX-Timeout: 10\r\nX-Cost: 20000\r\nContent-Length: 2\r\n\r\nhi";
    }

    /** Answers every submission that it is sent, and notes on which connection it came. */
    private int worker(BlockingQueue<Integer> heard) throws IOException {
        ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        open.add(server);
        BackgroundTask.start(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        open.add(socket);
                        BackgroundTask.start(
                                () -> {
                                    while (true) {
                                        String id =
                                                head(socket.getInputStream())
                                                        .replaceAll(
                                                                "(?s).*X-Request-ID: (\\w+).*",
                                                                "$1");
                                        socket.getInputStream().readNBytes(2);
                                        heard.add(server.getLocalPort());
                                        String line =
                                                "{\"id\":\""
                                                        + id
                                                        + "\",\"from\":\"w\",\"state\":\"done\",\"result\":\"\"}\n";
                                        say(socket, line);
                                    }
                                });
                    }
                });
        return server.getLocalPort();
    }

    private static String list(int version, int worker) {
        return "{\"version\":"
                + version
                + ",\"full\":true,\"servers\":[{\"id\":\"w"
                + worker
                + "\",\"addr\":"
                + "\"127.0.0.1:"
                + worker
                + "\",\"zone\":\"here\",\"kind\":\"m\",\"cell\":1,"
                + "\"state\":\"ready\"}]}";
    }

    private static String config(int discovery, int worker) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"admin\":\"127.0.0.1:0\",\"discovery\":"
                + "\"127.0.0.1:"
                + discovery
                + "\",\"limits\":{\"sockets\":"
                + DESCRIPTORS
                + "},\"known\":"
                + list(5, worker)
                + ",\"settings\":{\"request_classes\":[{\"name\":\"job\",\"effect\":\"free\","
                + "\"on_time_us\":4000000,\"worth\":1,\"hard_limit_us\":10000000}],"
                + "\"permissions\":{\"cancel\":true,\"most_tries\":6,\"connect_timeout_us\":500000}}}";
    }

    @DataProvider
    public Object[][] crowds() {
        return new Object[][] {
            // What each says, and then does no more.
            {"silent", ""},
            {"idle after a message", HEALTH},
            {"half-open", "POST /job/x HTTP/1.1\r\nHost: a\r\nX-Req"},
            {
                "much ahead of its turn",
                HEALTH.repeat(40) + "POST /job/x HTTP/1.1\r\nHost: a\r\nX-Req"
            },
        };
    }

    /** Discovery, a worker that is new and the operators are reached, and so is a client. */
    @Test(dataProvider = "crowds", timeOut = PATIENCE)
    public void aCrowdTakesNoOthersDescriptors(String kind, String said) throws Exception {
        BlockingQueue<Integer> heard = new LinkedBlockingQueue<>();
        int first = worker(heard);
        int second = worker(heard);
        int discovery;
        try (ServerSocket place = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            discovery = place.getLocalPort();
        }
        Path directory = Files.createTempDirectory("wheelroute");
        ServedProcess process =
                ServedProcess.start(directory, config(discovery, first), DESCRIPTORS);
        open.add(process);
        Socket steady = connect(process.port());
        send(steady, job("a1"));
        assertEquals(answer(steady), 200);
        assertEquals(heard.take().intValue(), first);
        for (int i = 0; i < CLIENTS; i++) {
            try {
                send(connect(process.port()), said);
            } catch (IOException e) {
                // One too many: closed at once.
                assertNotEquals(e.getMessage(), null);
            }
        }
        BlockingQueue<String> calls = new LinkedBlockingQueue<>();
        long returned = back(discovery, second, calls);
        String call = calls.poll((long) (IN_TIME * 1e3), TimeUnit.MILLISECONDS);
        assertTrue(
                call != null,
                "not asked again "
                        + (System.nanoTime() - returned) / 1e9
                        + " s after\n"
                        + process.log());
        Socket door = connect(process.adminPort());
        send(door, "READY\n");
        assertEquals(
                new String(door.getInputStream().readAllBytes(), StandardCharsets.UTF_8),
                "ok ready\n");
        // A newcomer is served, by the worker that the list names now, to which no connection is up
        // yet.
        int status = 0;
        for (int i = 0; status != 200 || heard.take() != second; i++) {
            try (Socket client = connect(process.port())) {
                send(client, job("b" + i));
                status = answer(client);
            } catch (IOException e) {
                // Turned away unheard, with so many there: it comes again.
                status = 0;
            }
        }
        assertFalse(process.log().contains("Too many open files"), process.log());
        assertEquals(process.end(), 0, process.log());
        Files.deleteIfExists(directory.resolve("config.json"));
    }

    /** Discovery returns: the whole list to the first call, and the next is held. */
    private long back(int port, int worker, BlockingQueue<String> calls) throws IOException {
        ServerSocket server = new ServerSocket();
        open.add(server);
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
        AtomicInteger answers = new AtomicInteger();
        BackgroundTask.start(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        open.add(socket);
                        BackgroundTask.start(
                                () -> {
                                    while (true) {
                                        calls.add(head(socket.getInputStream()));
                                        if (answers.getAndIncrement() == 0) {
                                            say(socket, list(6, worker));
                                        }
                                    }
                                });
                    }
                });
        return System.nanoTime();
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        for (AutoCloseable one : new ArrayList<>(open)) {
            one.close();
        }
        open.clear();
    }
}
