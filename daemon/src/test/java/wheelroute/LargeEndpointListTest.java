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
 * Serves endpoint lists of up to 80,000 workers to a process with the heap size used in production,
 * which must reject a list that does not fit and keep running.
 */
public class LargeEndpointListTest {
    private static final int TIMEOUT_MILLIS = 40_000;

    @DataProvider
    public Object[][] listSizes() {
        return new Object[][] {
            // Each row holds the number of workers and whether a list of them fits a heap of 96 MB.
            {1_000, true}, {30_000, true}, {80_000, false},
        };
    }

    @Test(dataProvider = "listSizes", timeOut = TIMEOUT_MILLIS)
    public void readsListsUpToLimitSetByHeapSize(int workers, boolean accepted) throws Exception {
        Path directory = Files.createTempDirectory("wheelroute");
        try (ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            byte[] endpointList = endpointList(workers);
            Thread responder = new Thread(() -> respond(discovery, endpointList));
            responder.setDaemon(true);
            responder.start();
            String config =
                    "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                            + discovery.getLocalPort()
                            + "\",\"settings\":{\"request_classes\":[{\"name\":\"job\","
                            + "\"effect\":\"free\"}]}}";
            try (DispatcherProcess process = DispatcherProcess.start(directory, config, 0)) {
                if (accepted) {
                    while (!metrics(process.port())
                            .contains("wheelroute_workers_listed " + workers + "\n")) {
                        LockSupport.parkNanos(10_000_000);
                    }
                    assertFalse(process.log().contains("failed"), process.log());
                } else {
                    while (!process.log().contains("endpoint watch failed")) {
                        LockSupport.parkNanos(10_000_000);
                    }
                    assertTrue(
                            process.log()
                                    .contains(
                                            "the maximum size with the configured limits.memory_mb"),
                            process.log());
                    // The process keeps its previous list, which is empty.
                    assertTrue(metrics(process.port()).contains("wheelroute_workers_listed 0\n"));
                }
            }
        } finally {
            Files.deleteIfExists(directory.resolve("config.json"));
            Files.deleteIfExists(directory);
        }
    }

    private static byte[] endpointList(int workers) {
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

    /**
     * Answers the first call on each connection with the list, and leaves later calls unanswered.
     */
    private static void respond(ServerSocket discovery, byte[] endpointList) {
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
                        ("HTTP/1.1 200 OK\r\nContent-Length: " + endpointList.length + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                out.write(endpointList);
            }
        } catch (IOException e) {
            // The test has ended, or the caller has closed the connection before the end of the
            // list.
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
