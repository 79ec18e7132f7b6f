package wheelroute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static wheelroute.net.HttpMessages.HEALTH_CHECK;
import static wheelroute.net.HttpMessages.exchange;
import static wheelroute.net.HttpMessages.okResponse;
import static wheelroute.net.HttpMessages.readMessage;
import static wheelroute.net.HttpMessages.send;
import static wheelroute.net.HttpMessages.statusOf;

import java.io.IOException;
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
 * Guards against a flood of idle client connections that takes all file descriptors of the process
 * while discovery is down, so that the process can no longer reach discovery, workers or operators.
 */
public class DescriptorLimitTest {
    private static final int TIMEOUT_MILLIS = 90_000;

    /** Limit on descriptors, both in the configuration and by the operating system. */
    private static final int DESCRIPTORS = 160;

    private static final int CLIENTS = 600;
    private static final int BACKLOG = 200;

    /**
     * Longest time from the return of discovery to the next poll, plus 0.5 s for a busy machine.
     */
    private static final double MAX_RECOVERY_SECONDS = 4.8 + 0.5;

    private static final int READ_TIMEOUT_MILLIS = 20_000;

    private final List<AutoCloseable> resources = Collections.synchronizedList(new ArrayList<>());

    private Socket connect(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        resources.add(socket);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    private static String jobRequest(String id) {
        return "POST /job/x HTTP/1.1\r\nHost: a\r\nX-Request-ID: "
                + id
                + "\r\nX-Timeout: 10\r\nX-Cost: 20000\r\nContent-Length: 2\r\n\r\nhi";
    }

    /** Starts a worker that completes each request and adds its own port to {@code received}. */
    private int startWorker(BlockingQueue<Integer> received) throws IOException {
        ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        resources.add(server);
        BackgroundTask.acceptAll(
                server,
                resources,
                socket -> completeRequests(socket, server.getLocalPort(), received));
        return server.getLocalPort();
    }

    private static void completeRequests(
            Socket socket, int workerPort, BlockingQueue<Integer> received) throws IOException {
        while (true) {
            String id =
                    readMessage(socket.getInputStream())
                            .replaceAll("(?s).*X-Request-ID: (\\w+).*", "$1");
            received.add(workerPort);
            send(
                    socket,
                    okResponse(
                            "{\"id\":\""
                                    + id
                                    + "\",\"from\":\"w\",\"state\":\"done\",\"result\":\"\"}\n"));
        }
    }

    private static String endpointList(int version, int worker) {
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
                + endpointList(5, worker)
                + ",\"settings\":{\"request_classes\":[{\"name\":\"job\",\"effect\":\"free\","
                + "\"on_time_us\":4000000,\"worth\":1,\"hard_limit_us\":10000000}],"
                + "\"permissions\":{\"cancel\":true,\"most_tries\":6,\"connect_timeout_us\":500000}}}";
    }

    @DataProvider
    public Object[][] floodPayloads() {
        return new Object[][] {
            // Each row holds a description and what each connection sends before it stays idle.
            {"nothing", ""},
            {"a complete message", HEALTH_CHECK},
            {"half a message", "POST /job/x HTTP/1.1\r\nHost: a\r\nX-Req"},
            {
                "many messages and half of one",
                HEALTH_CHECK.repeat(40) + "POST /job/x HTTP/1.1\r\nHost: a\r\nX-Req"
            },
        };
    }

    @Test(dataProvider = "floodPayloads", timeOut = TIMEOUT_MILLIS)
    public void keepsDescriptorsForOtherPeersDuringConnectionFlood(
            String description, String payload) throws Exception {
        BlockingQueue<Integer> received = new LinkedBlockingQueue<>();
        int firstWorker = startWorker(received);
        int secondWorker = startWorker(received);
        int discovery = freePort();
        Path directory = Files.createTempDirectory("wheelroute");
        DispatcherProcess process =
                DispatcherProcess.start(directory, config(discovery, firstWorker), DESCRIPTORS);
        resources.add(process);
        Socket earlierConnection = connect(process.port());
        assertEquals(statusOf(exchange(earlierConnection, jobRequest("a1"))), 200);
        assertEquals(received.take().intValue(), firstWorker);
        flood(process.port(), payload);
        assertDiscoveryIsPolled(discovery, secondWorker, process);
        assertAdminServerResponds(process.adminPort());
        awaitRequestServedBy(secondWorker, process.port(), received);
        assertFalse(process.log().contains("Too many open files"), process.log());
        assertEquals(process.terminate(), 0, process.log());
        Files.deleteIfExists(directory.resolve("config.json"));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private void flood(int port, String payload) {
        for (int i = 0; i < CLIENTS; i++) {
            try {
                send(connect(port), payload);
            } catch (IOException e) {
                // The process closes connections over its limit at once.
                assertNotEquals(e.getMessage(), null);
            }
        }
    }

    private void assertDiscoveryIsPolled(int port, int worker, DispatcherProcess process)
            throws Exception {
        BlockingQueue<String> calls = new LinkedBlockingQueue<>();
        startDiscovery(port, worker, calls);
        long startedAt = System.nanoTime();
        String call = calls.poll((long) (MAX_RECOVERY_SECONDS * 1e3), TimeUnit.MILLISECONDS);
        assertTrue(
                call != null,
                "discovery was not polled within "
                        + (System.nanoTime() - startedAt) / 1e9
                        + " s after its return\n"
                        + process.log());
    }

    private void assertAdminServerResponds(int port) throws IOException {
        Socket admin = connect(port);
        send(admin, "READY\n");
        assertEquals(
                new String(admin.getInputStream().readAllBytes(), StandardCharsets.UTF_8),
                "ok ready\n");
    }

    /** Sends requests until a worker that had no connection before has served one. */
    private void awaitRequestServedBy(int worker, int port, BlockingQueue<Integer> received)
            throws Exception {
        int status = 0;
        for (int i = 0; status != 200 || received.take() != worker; i++) {
            try (Socket client = connect(port)) {
                status = statusOf(exchange(client, jobRequest("b" + i)));
            } catch (IOException e) {
                // The flood made the process reject the request unread, so the loop tries again.
                status = 0;
            }
        }
    }

    /** Starts a discovery stub that answers only its first call, with the endpoint list. */
    private void startDiscovery(int port, int worker, BlockingQueue<String> calls)
            throws IOException {
        ServerSocket server = new ServerSocket();
        resources.add(server);
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        AtomicInteger responses = new AtomicInteger();
        BackgroundTask.acceptAll(
                server,
                resources,
                socket -> {
                    while (true) {
                        calls.add(readMessage(socket.getInputStream()));
                        if (responses.getAndIncrement() == 0) {
                            send(socket, okResponse(endpointList(6, worker)));
                        }
                    }
                });
    }

    @AfterMethod(alwaysRun = true)
    public void closeResources() throws Exception {
        for (AutoCloseable resource : new ArrayList<>(resources)) {
            resource.close();
        }
        resources.clear();
    }
}
