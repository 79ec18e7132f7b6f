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

/** A relay on loopback sockets, between a client and a far end that sends back what it hears. */
public class RelayTest extends EventLoopHarness {
    /** Long enough that what passes would have come: a read that times out is what is asserted. */
    private static final int SILENCE = 300;

    private static final LinkState SHUT =
            new LinkState(false, false, false, 0, 0, 0, Double.POSITIVE_INFINITY, 0);
    private static final LinkState ONE_WAY =
            new LinkState(false, true, false, 0, 0, 0, Double.POSITIVE_INFINITY, 0);
    private static final LinkState REFUSES =
            new LinkState(true, false, false, 0, 0, 0, Double.POSITIVE_INFINITY, 0);

    private final List<AutoCloseable> open = new ArrayList<>();
    private Relay relay;
    private ServerSocket far;

    /** Of this case alone: threads of the last one may still be at their end. */
    private AtomicLong heard;

    private volatile double chance = 1;

    @BeforeMethod
    public void begin() throws Exception {
        AtomicLong counted = new AtomicLong();
        heard = counted;
        startLoop();
        far = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        open.add(far);
        Thread echo =
                new Thread(
                        () -> {
                            while (!far.isClosed()) {
                                try {
                                    Socket socket = far.accept();
                                    open.add(socket);
                                    Thread each = new Thread(() -> echo(socket, counted));
                                    each.setDaemon(true);
                                    each.start();
                                } catch (IOException e) {
                                    return;
                                }
                            }
                        });
        echo.setDaemon(true);
        echo.start();
        relay =
                onLoop(
                        () ->
                                new Relay(
                                        loop,
                                        () -> (InetSocketAddress) far.getLocalSocketAddress(),
                                        true,
                                        () -> chance));
    }

    private static void echo(Socket socket, AtomicLong counted) {
        try (socket) {
            byte[] bytes = new byte[8192];
            for (int got = socket.getInputStream().read(bytes);
                    got >= 0;
                    got = socket.getInputStream().read(bytes)) {
                counted.addAndGet(got);
                socket.getOutputStream().write(bytes, 0, got);
            }
            socket.shutdownOutput();
        } catch (IOException e) {
            // Reset on purpose, or the case is over.
            return;
        }
    }

    private void set(LinkState state) throws Exception {
        onLoop(
                () -> {
                    relay.apply(state);
                    return null;
                });
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(relay.address().getAddress(), relay.address().getPort());
        open.add(socket);
        socket.setSoTimeout(PATIENCE);
        return socket;
    }

    private static void assertEchoes(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(UTF_8));
        assertEquals(new String(socket.getInputStream().readNBytes(text.length()), UTF_8), text);
    }

    @DataProvider
    public Object[][] shut() {
        return new Object[][] {
            // what the way lets through, whether the far end still hears
            {SHUT, false},
            {ONE_WAY, true},
        };
    }

    /** Nothing comes back while it is harmed; healed, all of it comes, in its order. */
    @Test(dataProvider = "shut", timeOut = 2 * PATIENCE)
    public void whatIsHeldBackGoesOnWhenHealed(LinkState state, boolean hears) throws Exception {
        Socket socket = connect();
        assertEchoes(socket, "before");
        set(state);
        socket.getOutputStream().write("first ".getBytes(UTF_8));
        socket.getOutputStream().write("second".getBytes(UTF_8));
        socket.setSoTimeout(SILENCE);
        expectThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
        assertEquals(heard.get(), hears ? 18 : 6);
        set(LinkState.OPEN);
        socket.setSoTimeout(PATIENCE);
        assertEquals(new String(socket.getInputStream().readNBytes(12), UTF_8), "first second");
    }

    @Test(timeOut = 2 * PATIENCE)
    public void aRefusedWayResetsAndRefusesAndComesBack() throws Exception {
        Socket socket = connect();
        assertEchoes(socket, "before");
        set(REFUSES);
        expectThrows(
                IOException.class,
                () -> {
                    if (socket.getInputStream().read() < 0) {
                        throw new IOException("an end, where a reset or an end may come");
                    }
                });
        expectThrows(IOException.class, this::connect);
        set(LinkState.OPEN);
        assertEchoes(connect(), "after");
    }

    @Test(timeOut = 2 * PATIENCE)
    public void aSlowWayIsSlowBothWays() throws Exception {
        Socket socket = connect();
        assertEchoes(socket, "before");
        set(new LinkState(false, true, true, 0.1, 0, 0, Double.POSITIVE_INFINITY, 0));
        long from = System.nanoTime();
        assertEchoes(socket, "slow");
        assertTrue(System.nanoTime() - from >= 200_000_000L, "came too soon");
    }

    /**
     * More than is held for one direction: the sender waits, and nothing is lost or out of order.
     */
    @Test(timeOut = 4 * PATIENCE)
    public void muchMorePassesThanIsHeld() throws Exception {
        Socket socket = connect();
        byte[] all = new byte[6 << 20];
        for (int i = 0; i < all.length; i++) {
            all[i] = (byte) (i * 31 + i / 977);
        }
        Thread writer =
                new Thread(
                        () -> {
                            try {
                                socket.getOutputStream().write(all);
                                socket.shutdownOutput();
                            } catch (IOException e) {
                                // The reader finds out.
                                return;
                            }
                        });
        writer.setDaemon(true);
        writer.start();
        InputStream in = socket.getInputStream();
        assertTrue(
                Arrays.equals(in.readNBytes(all.length), all),
                "what came back is not what was sent");
        assertEquals(in.read(), -1, "and then its end");
    }

    /** A sender that closes on a cut way takes with it what had not arrived. */
    @Test(timeOut = 2 * PATIENCE)
    public void whatASenderClosedWhileCutNeverArrives() throws Exception {
        Socket socket = connect();
        assertEchoes(socket, "before");
        set(SHUT);
        socket.getOutputStream().write("lost".getBytes(UTF_8));
        socket.close();
        Socket other = connect();
        other.getOutputStream().write("held".getBytes(UTF_8));
        other.setSoTimeout(SILENCE);
        expectThrows(SocketTimeoutException.class, () -> other.getInputStream().read());
        set(LinkState.OPEN);
        other.setSoTimeout(PATIENCE);
        assertEquals(new String(other.getInputStream().readNBytes(4), UTF_8), "held");
        assertEquals(heard.get(), 10);
    }

    @Test(timeOut = 2 * PATIENCE)
    public void aFarEndThatIsNotThereShowsAsAnEnd() throws Exception {
        far.close();
        Socket socket = connect();
        expectThrows(
                IOException.class,
                () -> {
                    if (socket.getInputStream().read() < 0) {
                        throw new IOException("an end, where a reset or an end may come");
                    }
                });
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        for (AutoCloseable one : new ArrayList<>(open)) {
            one.close();
        }
        open.clear();
        loop.stop();
    }
}
