package wheelroute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.zip.CRC32;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that SIGTERM ends a process that waits for the state of its predecessor. */
public class TerminationDuringStartTest {
    private static final int TIMEOUT_MILLIS = 20_000;

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static Process start(Path directory, int port, String extraKeys) throws IOException {
        return DispatcherProcess.builder(
                        directory,
                        "{\"name\":\"n0\",\"listen\":\"127.0.0.1:"
                                + port
                                + "\",\"admin\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"settings\":"
                                + "{\"request_classes\":[{\"name\":\"job\",\"effect\":\"free\""
                                + extraKeys
                                + "}]}}",
                        0)
                .start();
    }

    /** Returns the path of the socket at which the process expects its predecessor. */
    private static Path handoverSocket(Path directory, int port) {
        CRC32 crc = new CRC32();
        crc.update(
                ("n0 " + new InetSocketAddress("127.0.0.1", port))
                        .getBytes(StandardCharsets.UTF_8));
        return directory.resolve(
                String.format(Locale.ROOT, "wheelroute-%08x.sock", crc.getValue()));
    }

    @DataProvider
    public Object[][] starts() {
        // Each row holds extra keys of the request class, which may be invalid, and the exit code.
        return new Object[][] {{"", 0}, {",\"hard_limit_us\":0", 1}};
    }

    /** A start that fails because of its configuration keeps the exit code of that failure. */
    @Test(dataProvider = "starts", timeOut = TIMEOUT_MILLIS)
    public void exitsWithoutListeningWhenTerminatedDuringStart(String extraKeys, int exitCode)
            throws Exception {
        Path directory = Files.createTempDirectory("wheelroute");
        int port = freePort();
        Path socketPath = handoverSocket(directory, port);
        try (ServerSocketChannel predecessor =
                ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            predecessor.bind(UnixDomainSocketAddress.of(socketPath));
            Process process = start(directory, port, extraKeys);
            try {
                if (exitCode == 0) {
                    // The process now waits for the state, which this predecessor never sends.
                    predecessor.accept();
                    // Process.destroy would also close the output, which is read below.
                    process.toHandle().destroy();
                }
                String log =
                        new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                assertEquals(process.waitFor(), exitCode, log);
                assertFalse(log.contains("n0 listens on"), log);
                assertTrue(exitCode == 0 || log.contains("hard_limit_us"), log);
            } finally {
                process.destroyForcibly();
            }
        } finally {
            Files.deleteIfExists(socketPath);
            Files.deleteIfExists(directory.resolve("config.json"));
            Files.deleteIfExists(directory);
        }
    }
}
