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
 * Lists of tens of thousands of workers, read by a process whose heap is as large as a dispatcher's
 * is.
 */
public class LongListTest {
    private static final int PATIENCE = 40_000;

    @DataProvider
    public Object[][] lists() {
        return new Object[][] {
            // workers, and whether a process with 96 MB of heap reads them: an entry takes 123
            // bytes
            {1_000, true}, {30_000, true}, {80_000, false},
        };
    }

    @Test(dataProvider = "lists", timeOut = PATIENCE)
    public void isReadUpToABoundThatTheHeapSets(int workers, boolean fits) throws Exception {
        Path directory = Files.createTempDirectory("wheelroute");
        try (ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            byte[] list = list(workers);
            Thread answers = new Thread(() -> answer(discovery, list));
            answers.setDaemon(true);
            answers.start();
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
                                    .contains("which are all that limits.memory_mb leaves for it"),
                            served.log());
                    // It serves on, with what it has: nothing.
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

    /** The whole list to the first call of each connection; the next is held for ever. */
    private static void answer(ServerSocket discovery, byte[] list) {
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
            // The case is over, or the caller has had enough of the list.
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
