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
import java.net.SocketException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a process that runs out of memory because hundreds of clients are connected at
 * once that send long heads, or stop in the middle of a request.
 */
public class UnfinishedRequestsTest {
    private static final int TIMEOUT_MILLIS = 90_000;
    private static final int READ_TIMEOUT_MILLIS = 30_000;

    private static final int DESCRIPTORS = 1024;
    private static final int CLIENTS = 460;

    /** How often the clients are replaced by as many new ones, beside which a request is sent. */
    private static final int ROUNDS = 3;

    /** Slightly less than the dispatcher accepts. */
    private static final int HEAD_BYTES = 8000;

    private static final int BODY_BYTES = 60_000;
    private static final String HEAD_START = "POST /job/x HTTP/1.1\r\nHost: a\r\n";
    private static final String NAME_CHARACTERS =
            "abcdefghijklmnopqrstuvwxyz0123456789-_.~!$&'*+^`|%#";

    private final List<AutoCloseable> resources = Collections.synchronizedList(new ArrayList<>());

    /** Returns fields of six bytes, each with a name of its own. */
    private static String shortFields(int bytes) {
        StringBuilder fields = new StringBuilder();
        int names = NAME_CHARACTERS.length();
        for (int i = 0; fields.length() < bytes; i++) {
            fields.append(NAME_CHARACTERS.charAt(i / names % names))
                    .append(NAME_CHARACTERS.charAt(i % names))
                    .append(":1\r\n");
        }
        return fields.toString();
    }

    /** What each of the clients sends. */
    private record UnfinishedRequest(String name, String text) {
        @Override
        public String toString() {
            return name;
        }
    }

    @DataProvider
    public Object[][] requests() {
        int fieldBytes = HEAD_BYTES - HEAD_START.length();
        String length = HEAD_START + "Content-Length: " + BODY_BYTES + "\r\n";
        String halfBody = "\r\n" + "b".repeat(BODY_BYTES / 2);
        String target = "/" + "\u00e9".repeat(HEAD_BYTES / 2 - HEAD_START.length());
        return new Object[][] {
            {new UnfinishedRequest("endless short fields", HEAD_START + shortFields(fieldBytes))},
            {
                new UnfinishedRequest(
                        "endless field", HEAD_START + "X-Attrs: " + "a".repeat(fieldBytes))
            },
            {
                new UnfinishedRequest(
                        "complete head of short fields",
                        "GET /healthz HTTP/1.1\r\nHost: a\r\n" + shortFields(fieldBytes) + "\r\n")
            },
            {
                new UnfinishedRequest(
                        "complete head with long target",
                        "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n")
            },
            {new UnfinishedRequest("half of a body", length + halfBody)},
            {
                new UnfinishedRequest(
                        "short fields and half of a body",
                        length + shortFields(fieldBytes / 2) + halfBody)
            },
        };
    }

    private int startWorker() throws IOException {
        ServerSocket server = new ServerSocket(0, CLIENTS, InetAddress.getLoopbackAddress());
        resources.add(server);
        BackgroundTask.acceptAll(server, resources, UnfinishedRequestsTest::respond);
        return server.getLocalPort();
    }

    private static void respond(Socket socket) throws IOException {
        while (true) {
            readMessage(socket.getInputStream());
            send(socket, SUCCESS.replace("ID", "77"));
        }
    }

    private Socket connect(int port) throws IOException {
        Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
        resources.add(client);
        client.setSoTimeout(READ_TIMEOUT_MILLIS);
        return client;
    }

    private void sendUnfinishedRequests(int port, String request) throws IOException {
        for (int i = 0; i < CLIENTS; i++) {
            try {
                send(connect(port), request);
            } catch (SocketException e) {
                // Over its limit of connections or memory the dispatcher may close a connection.
            }
        }
    }

    @Test(dataProvider = "requests", timeOut = TIMEOUT_MILLIS)
    public void servesOthersBesideHundredsOfUnfinishedRequests(UnfinishedRequest request)
            throws Exception {
        DispatcherProcess process =
                LoadedProcess.start(
                        resources,
                        DESCRIPTORS,
                        List.of(startWorker()),
                        "\"on_time_us\":5000000,\"hard_limit_us\":6000000",
                        "\"cancel\":true,\"most_tries\":3");
        String usual =
                HEAD_START + "X-Request-ID: 77\r\nX-Timeout: 5\r\nContent-Length: 2\r\n\r\nhi";
        for (int round = 0; round < ROUNDS; round++) {
            sendUnfinishedRequests(process.port(), request.text);
            assertTrue(process.isAlive(), process.log());
            assertEquals(statusOf(exchange(connect(process.port()), usual)), 200, process.log());
        }
        assertEquals(process.terminate(), 0, process.log());
    }

    @AfterMethod(alwaysRun = true)
    public void closeResources() throws Exception {
        for (AutoCloseable resource : new ArrayList<>(resources)) {
            resource.close();
        }
        resources.clear();
    }
}
