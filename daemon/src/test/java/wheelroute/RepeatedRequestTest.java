package wheelroute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static wheelroute.net.HttpMessages.SUCCESS;
import static wheelroute.net.HttpMessages.readMessage;
import static wheelroute.net.HttpMessages.send;
import static wheelroute.net.HttpMessages.statusOf;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a second effect of a request whose client has left and sends it again, with the
 * same id, to the same process or to the other one during a replacement.
 */
public class RepeatedRequestTest {
    private static final int TIMEOUT_MILLIS = 60_000;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final int CELLS = 2;
    private static final int WORKERS_PER_CELL = 2;
    private static final int FIRST_ID = 10;
    private static final int REQUESTS = 16;
    private static final int CONFLICT = 409;
    private static final int FAILED = 502;
    private static final long POLL_NANOS = 1_000_000;

    private final List<AutoCloseable> resources = Collections.synchronizedList(new ArrayList<>());

    /** The cells of the attempts that workers have received, by the id of the request. */
    private final Map<String, List<Integer>> cellsById = new ConcurrentHashMap<>();

    /** Starts a worker that responds only to the repeat of a request. */
    private int startWorker(int cell) throws IOException {
        ServerSocket server = new ServerSocket(0, REQUESTS, InetAddress.getLoopbackAddress());
        resources.add(server);
        BackgroundTask.acceptAll(server, resources, socket -> serve(socket, cell));
        return server.getLocalPort();
    }

    private void serve(Socket socket, int cell) throws IOException {
        while (true) {
            String id =
                    readMessage(socket.getInputStream())
                            .replaceAll("(?s).*X-Request-ID: (\\w+).*", "$1");
            List<Integer> cells =
                    cellsById.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>());
            cells.add(cell);
            if (cells.size() > 1) {
                send(socket, SUCCESS.replace("ID", id));
            }
        }
    }

    private String config() throws IOException {
        StringBuilder servers = new StringBuilder();
        for (int i = 0; i < CELLS * WORKERS_PER_CELL; i++) {
            servers.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"w" + i + "\",\"addr\":\"127.0.0.1:" + startWorker(i % CELLS))
                    .append("\",\"zone\":\"here\",\"kind\":\"m\",\"cell\":" + i % CELLS)
                    .append(",\"state\":\"ready\"}");
        }
        ServerSocket silentDiscovery = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        resources.add(silentDiscovery);
        String limits = "\"on_time_us\":5000000,\"worth\":1,\"hard_limit_us\":20000000}";
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"admin\":\"127.0.0.1:0\","
                + "\"discovery\":\"127.0.0.1:"
                + silentDiscovery.getLocalPort()
                + "\",\"known\":{\"version\":5,\"full\":true,\"servers\":["
                + servers
                + "]},\"settings\":{\"request_classes\":["
                + "{\"name\":\"keyed\",\"effect\":\"guarded\",\"group\":\"cell\","
                + "\"window_us\":30000000,"
                + limits
                + ",{\"name\":\"single\",\"effect\":\"once\","
                + limits
                + "],\"permissions\":{\"cancel\":true,\"most_tries\":6,"
                + "\"connect_timeout_us\":250000}}}";
    }

    private DispatcherProcess start(Path directory, String config) throws Exception {
        DispatcherProcess process = DispatcherProcess.start(directory, config, 0);
        resources.add(process);
        return process;
    }

    private Socket sendRequest(DispatcherProcess process, String requestClass, String id)
            throws IOException {
        Socket client = new Socket(InetAddress.getLoopbackAddress(), process.port());
        resources.add(client);
        client.setSoTimeout(READ_TIMEOUT_MILLIS);
        send(
                client,
                "POST /"
                        + requestClass
                        + " HTTP/1.1\r\nHost: a\r\nX-Request-ID: "
                        + id
                        + "\r\nIdempotency-Key: k"
                        + id
                        + "\r\nX-Timeout: 20\r\nX-Cost: 1000\r\nContent-Length: 2\r\n\r\nhi");
        return client;
    }

    /** Sends a request, and closes the connection when a worker has received it. */
    private void sendAndLeave(DispatcherProcess process, String requestClass, String id)
            throws IOException {
        Socket client = sendRequest(process, requestClass, id);
        while (!cellsById.containsKey(id)) {
            LockSupport.parkNanos(POLL_NANOS);
        }
        client.close();
    }

    /** Sends a request again until it is not open any more, and returns the final status. */
    private int sendAgain(DispatcherProcess process, String requestClass, String id)
            throws IOException {
        while (true) {
            try (Socket client = sendRequest(process, requestClass, id)) {
                int status = statusOf(readMessage(client.getInputStream()));
                if (status != CONFLICT) {
                    return status;
                }
            }
        }
    }

    @DataProvider
    public Object[][] requestClasses() {
        return new Object[][] {{"keyed"}, {"single"}};
    }

    @Test(dataProvider = "requestClasses", timeOut = TIMEOUT_MILLIS)
    public void hasNoSecondEffectWhenClientLeavesAndSendsAgain(String requestClass)
            throws Exception {
        Path directory = Files.createTempDirectory("wheelroute");
        DispatcherProcess process = start(directory, config());
        for (int i = 0; i < REQUESTS; i++) {
            String id = Integer.toString(FIRST_ID + i);
            sendAndLeave(process, requestClass, id);
            checkRepeat(requestClass, id, sendAgain(process, requestClass, id));
        }
        assertEquals(process.terminate(), 0, process.log());
    }

    /** Half of the clients leave before the successor starts, the other half after that. */
    @Test(dataProvider = "requestClasses", timeOut = TIMEOUT_MILLIS)
    public void hasNoSecondEffectWhenClientSendsAgainToSuccessor(String requestClass)
            throws Exception {
        Path directory = Files.createTempDirectory("wheelroute");
        String config = config();
        DispatcherProcess predecessor = start(directory, config);
        DispatcherProcess successor = null;
        for (int i = 0; i < REQUESTS; i++) {
            if (i == REQUESTS / 2) {
                successor = start(directory, config);
            }
            sendAndLeave(predecessor, requestClass, Integer.toString(FIRST_ID + i));
        }
        for (int i = 0; i < REQUESTS; i++) {
            String id = Integer.toString(FIRST_ID + i);
            checkRepeat(requestClass, id, sendAgain(successor, requestClass, id));
        }
        assertEquals(predecessor.terminate(), 0, predecessor.log());
        assertEquals(successor.terminate(), 0, successor.log());
    }

    private void checkRepeat(String requestClass, String id, int status) {
        List<Integer> cells = cellsById.get(id);
        if (requestClass.equals("keyed")) {
            assertEquals(status, 200, "request " + id);
            assertTrue(
                    cells.size() > 1 && cells.stream().distinct().count() == 1,
                    "request " + id + " was sent to cells " + cells);
        } else {
            assertEquals(cells.size(), 1, "request " + id + " was sent again");
            assertEquals(status, FAILED, "request " + id);
        }
    }

    @AfterMethod(alwaysRun = true)
    public void closeResources() throws Exception {
        for (AutoCloseable resource : new ArrayList<>(resources)) {
            resource.close();
        }
        resources.clear();
        cellsById.clear();
    }
}
