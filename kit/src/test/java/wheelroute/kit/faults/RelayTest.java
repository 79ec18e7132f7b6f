package wheelroute.kit.faults;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.kit.EventLoopHarness;

/** Tests a relay on loopback sockets between a client and an echo server. */
public class RelayTest extends EventLoopHarness {
    /** Time without received bytes after which a test concludes that none will arrive. */
    private static final int SILENCE_TIMEOUT_MILLIS = 300;

    private static final int BACKLOG = 50;
    private static final double DELAY_SECONDS = 0.1;
    private static final long ROUND_TRIP_DELAY_NANOS = 200_000_000L;

    private final List<AutoCloseable> openResources = new ArrayList<>();
    private Relay relay;
    private ServerSocket server;

    /**
     * Bytes that the echo server has received. Each test has a new counter, because threads of the
     * previous test may still be running.
     */
    private AtomicLong bytesAtServer;

    @BeforeMethod
    public void begin() throws Exception {
        bytesAtServer = new AtomicLong();
        startLoop();
        server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        openResources.add(server);
        ServerSocket listening = server;
        AtomicLong counter = bytesAtServer;
        startThread(() -> acceptAll(listening, counter));
        relay =
                onLoop(
                        () ->
                                new Relay(
                                        loop,
                                        () -> (InetSocketAddress) server.getLocalSocketAddress(),
                                        true,
                                        () -> 1));
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll(ServerSocket listening, AtomicLong counter) {
        while (!listening.isClosed()) {
            try {
                Socket socket = listening.accept();
                openResources.add(socket);
                startThread(() -> echo(socket, counter));
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void echo(Socket socket, AtomicLong counter) {
        try (socket) {
            byte[] buffer = new byte[8192];
            InputStream in = socket.getInputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                counter.addAndGet(count);
                socket.getOutputStream().write(buffer, 0, count);
            }
            socket.shutdownOutput();
        } catch (IOException e) {
            // The test has reset the connection or is over.
            return;
        }
    }

    private void apply(LinkState state) throws Exception {
        runOnLoop(() -> relay.apply(state));
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(relay.address().getAddress(), relay.address().getPort());
        openResources.add(socket);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(UTF_8));
    }

    private static void assertReceives(Socket socket, String text) throws IOException {
        socket.setSoTimeout(TIMEOUT_MILLIS);
        assertEquals(new String(socket.getInputStream().readNBytes(text.length()), UTF_8), text);
    }

    private static void assertEchoes(Socket socket, String text) throws IOException {
        send(socket, text);
        assertReceives(socket, text);
    }

    private static void assertReceivesNothing(Socket socket) throws IOException {
        socket.setSoTimeout(SILENCE_TIMEOUT_MILLIS);
        expectThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
    }

    /** Asserts that the connection ends, either by a reset or by an end of stream. */
    private static void assertEnds(Socket socket) {
        expectThrows(
                IOException.class,
                () -> {
                    if (socket.getInputStream().read() < 0) {
                        throw new IOException("end of stream");
                    }
                });
    }

    @DataProvider
    public Object[][] blockedLinks() {
        return new Object[][] {
            // state of the link, whether the server still receives
            {LinkStates.PARTITIONED, false},
            {LinkStates.OUTBOUND_ONLY, true},
        };
    }

    @Test(dataProvider = "blockedLinks", timeOut = 2 * TIMEOUT_MILLIS)
    public void forwardsHeldBytesInOrderWhenOpenAgain(LinkState state, boolean serverReceives)
            throws Exception {
        Socket socket = connect();
        assertEchoes(socket, "before");
        apply(state);
        send(socket, "first ");
        send(socket, "second");
        assertReceivesNothing(socket);
        assertEquals(bytesAtServer.get(), serverReceives ? 18 : 6);
        apply(LinkState.OPEN);
        assertReceives(socket, "first second");
    }

    @Test(timeOut = 2 * TIMEOUT_MILLIS)
    public void resetsAndRefusesConnectionsUntilOpenAgain() throws Exception {
        Socket socket = connect();
        assertEchoes(socket, "before");
        apply(LinkStates.REFUSING);
        assertEnds(socket);
        expectThrows(IOException.class, this::connect);
        apply(LinkState.OPEN);
        assertEchoes(connect(), "after");
    }

    @Test(timeOut = 2 * TIMEOUT_MILLIS)
    public void delaysBothDirections() throws Exception {
        Socket socket = connect();
        assertEchoes(socket, "before");
        apply(LinkStates.delayed(DELAY_SECONDS, 0));
        long sentNanos = System.nanoTime();
        assertEchoes(socket, "slow");
        assertTrue(
                System.nanoTime() - sentNanos >= ROUND_TRIP_DELAY_NANOS,
                "the echo arrived before the delay of both directions");
    }

    @Test(timeOut = 4 * TIMEOUT_MILLIS)
    public void forwardsMoreThanItBuffersCompletelyAndInOrder() throws Exception {
        Socket socket = connect();
        byte[] all = new byte[6 << 20];
        for (int i = 0; i < all.length; i++) {
            all[i] = (byte) (i * 31 + i / 977);
        }
        startThread(() -> sendAndEnd(socket, all));
        InputStream in = socket.getInputStream();
        assertTrue(Arrays.equals(in.readNBytes(all.length), all), "received other bytes than sent");
        assertEquals(in.read(), -1, "end of stream");
    }

    private static void sendAndEnd(Socket socket, byte[] bytes) {
        try {
            socket.getOutputStream().write(bytes);
            socket.shutdownOutput();
        } catch (IOException e) {
            // The reading thread fails, because bytes are missing.
            return;
        }
    }

    @Test(timeOut = 2 * TIMEOUT_MILLIS)
    public void dropsHeldBytesOfClosedSender() throws Exception {
        Socket socket = connect();
        assertEchoes(socket, "before");
        apply(LinkStates.PARTITIONED);
        send(socket, "lost");
        socket.close();
        Socket other = connect();
        send(other, "held");
        assertReceivesNothing(other);
        apply(LinkState.OPEN);
        assertReceives(other, "held");
        assertEquals(bytesAtServer.get(), 10);
    }

    @Test(timeOut = 2 * TIMEOUT_MILLIS)
    public void endsConnectionWhenTargetDoesNotListen() throws Exception {
        server.close();
        assertEnds(connect());
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        for (AutoCloseable resource : new ArrayList<>(openResources)) {
            resource.close();
        }
        openResources.clear();
        loop.stop();
    }
}
