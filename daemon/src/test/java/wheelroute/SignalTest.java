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

/** A process of its own that is told to end at the moment that a test picks. */
public class SignalTest {
    private static final int PATIENCE = 20_000;

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static Process start(Path directory, int port, String extra) throws IOException {
        return ServedProcess.builder(
                        directory,
                        "{\"name\":\"n0\",\"listen\":\"127.0.0.1:"
                                + port
                                + "\",\"admin\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"settings\":"
                                + "{\"request_classes\":[{\"name\":\"job\",\"effect\":\"free\""
                                + extra
                                + "}]}}",
                        0)
                .start();
    }

    /** Where the processes of that dispatcher meet. */
    private static Path meeting(Path directory, int port) {
        CRC32 crc = new CRC32();
        crc.update(
                ("n0 " + new InetSocketAddress("127.0.0.1", port))
                        .getBytes(StandardCharsets.UTF_8));
        return directory.resolve(
                String.format(Locale.ROOT, "wheelroute-%08x.sock", crc.getValue()));
    }

    @DataProvider
    public Object[][] starts() {
        // What is wrong with its configuration, and the exit code.
        return new Object[][] {{"", 0}, {",\"hard_limit_us\":0", 1}};
    }

    /**
     * Told to end while it asks a process whose place it takes, it ends in order and never listens;
     * one whose start fails keeps the exit code for that.
     */
    @Test(dataProvider = "starts", timeOut = PATIENCE)
    public void aStartThatIsToldToEndEndsInOrder(String extra, int code) throws Exception {
        Path directory = Files.createTempDirectory("wheelroute");
        int port = freePort();
        Path path = meeting(directory, port);
        try (ServerSocketChannel before = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            before.bind(UnixDomainSocketAddress.of(path));
            Process process = start(directory, port, extra);
            try {
                if (code == 0) {
                    // It waits for what this one will not tell it.
                    before.accept();
                    // Not by the process itself, which would close what it says.
                    process.toHandle().destroy();
                }
                String log =
                        new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                assertEquals(process.waitFor(), code, log);
                assertFalse(log.contains("n0 listens on"), log);
                assertTrue(code == 0 || log.contains("hard_limit_us"), log);
            } finally {
                process.destroyForcibly();
            }
        } finally {
            Files.deleteIfExists(path);
            Files.deleteIfExists(directory.resolve("config.json"));
            Files.deleteIfExists(directory);
        }
    }
}
