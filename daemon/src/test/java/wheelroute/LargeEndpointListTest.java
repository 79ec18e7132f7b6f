package wheelroute;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Endpoint lists of tens of thousands of workers, read by a process with a heap as in production.
 */
public class LargeEndpointListTest {
    private static final int TIMEOUT_MILLIS = 40_000;

    @DataProvider
    public Object[][] lists() {
        return new Object[][] {
            // Number of workers, and whether a heap of 96 MB admits a list of that length.
            {1_000, true}, {30_000, true}, {80_000, false},
        };
    }

    @Test(dataProvider = "lists", timeOut = TIMEOUT_MILLIS)
    public void readsListsUpToLimitSetByHeapSize(int workers, boolean fits) throws Exception {
        Path directory = Files.createTempDirectory("wheelroute");
        try (ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            byte[] list = list(workers);
            Thread responder = new Thread(() -> respond(discovery, list));
            responder.setDaemon(true);
            responder.start();
            String config =
                    "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                            + discovery.getLocalPort()
                            + "\",\"settings\":{\"request_classes\":[{\"name\":\"job\","
                            + "\"effect\":\"free\"}]}}";
            try (ServedProcess served = ServedProcess.start(directory, config, 0)) {
                if (fits) {
                    while (!metrics(served.port())
                            .contains("wheelroute_workers_listed " + workers + "\n")) {
                        LockSupport.parkNanos(10_000_000);
                    }
                    assertFalse(served.log().contains("failed"), served.log());
                } else {
                    while (!served.log().contains("endpoint watch failed")) {
                        LockSupport.parkNanos(10_000_000);
                    }
                    assertTrue(
                            served.log()
                                    .contains(
                                            "the maximum size with the configured limits.memory_mb"),
                            served.log());
                    // The process goes on with the list that it has, which is empty.
                    assertTrue(metrics(served.port()).contains("wheelroute_workers_listed 0\n"));
                }
            }
        } finally {
            Files.deleteIfExists(directory.resolve("config.json"));
            Files.deleteIfExists(directory);
        }
    }

    private static byte[] list(int workers) {
        StringBuilder json = new StringBuilder("{\"version\":5,\"full\":true,\"servers\":[");
        for (int i = 0; i < workers; i++) {
            json.append(i > 0 ? "," : "")
                    .append(
                            String.format(
                                    Locale.ROOT,
                                    "{\"id\":\"s-%08x\",\"addr\":"
                                            + "\"127.0.0.1:%d\",\"zone\":\"z%d\",\"kind\":\"m%d\",\"cell\":%d,\"state\":\"ready\","
                                            + "\"weight\":1.0,\"started_ms\":0}",
                                    i,
                                    20_000 + i % 40_000,
                                    i % 13,
                                    i % 3,
                                    i % 40));
        }
        return json.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Answers the first call on each connection with the list, and never responder the next. */
    private static void respond(ServerSocket discovery, byte[] list) {
        try {
            while (true) {
                Socket caller = discovery.accept();
                InputStream in = caller.getInputStream();
                StringBuilder call = new StringBuilder();
                while (call.indexOf("\r\n\r\n") < 0) {
                    call.append((char) in.read());
                }
                OutputStream out = caller.getOutputStream();
                out.write(
                        ("HTTP/1.1 200 OK\r\nContent-Length: " + list.length + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                out.write(list);
            }
        } catch (IOException e) {
            // The test has ended, or the caller has closed the connection within the list.
            Thread.currentThread().interrupt();
        }
    }

    private static String metrics(int port) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.getOutputStream()
                    .write(
                            "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
