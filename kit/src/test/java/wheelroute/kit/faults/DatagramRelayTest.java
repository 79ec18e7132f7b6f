package wheelroute.kit.faults;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.kit.EventLoopHarness;
import wheelroute.net.loop.DatagramSocket;

/** Tests a pair of relays between two sockets on loopback. */
public class DatagramRelayTest extends EventLoopHarness {
    private static final int MAX_DATAGRAM_BYTES = 256;
    private static final long DELAY_NANOS = 50_000_000L;
    private static final LinkState LOSING = LinkStates.losing(0.5);
    private static final LinkState DUPLICATING = LinkStates.duplicating(0.5);
    private static final LinkState DELAYED = LinkStates.delayed(DELAY_NANOS / 1e9, 0);

    /** Received datagrams, each as a line of the receiver, the text and the sender's port. */
    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();

    /** Number that the relays draw in place of a random one. */
    private volatile double draw = 0;

    private DatagramSocket near;
    private DatagramSocket far;
    private DatagramRelay toFar;
    private DatagramRelay toNear;

    private DatagramSocket socket(String name) throws Exception {
        return new DatagramSocket(
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                MAX_DATAGRAM_BYTES,
                (from, bytes) ->
                        received.add(
                                name
                                        + " "
                                        + StandardCharsets.UTF_8.decode(bytes)
                                        + " "
                                        + from.getPort()));
    }

    @BeforeMethod
    public void begin() throws Exception {
        received.clear();
        startLoop();
        onLoop(
                () -> {
                    near = socket("near");
                    far = socket("far");
                    toFar = new DatagramRelay(loop, () -> far.address(), () -> draw);
                    toNear = new DatagramRelay(loop, () -> near.address(), () -> draw);
                    toFar.pairWith(toNear);
                    toNear.pairWith(toFar);
                    return null;
                });
    }

    private void send(DatagramSocket from, DatagramRelay relay, String text) throws Exception {
        runOnLoop(
                () ->
                        from.send(
                                relay.address(),
                                ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8))));
    }

    private void apply(LinkState nearLink, LinkState farLink) throws Exception {
        runOnLoop(
                () -> {
                    toFar.apply(nearLink, farLink);
                    toNear.apply(farLink, nearLink);
                });
    }

    @Test(timeOut = 2 * TIMEOUT_MILLIS)
    public void sendsFromAddressOfOppositeRelay() throws Exception {
        send(near, toFar, "one");
        assertEquals(received.take(), "far one " + toNear.address().getPort());
        send(far, toNear, "two");
        assertEquals(received.take(), "near two " + toFar.address().getPort());
    }

    @DataProvider
    public Object[][] links() {
        return new Object[][] {
            // state of the near link, of the far link, draw, datagrams that arrive at far, at near
            {LinkState.OPEN, LinkState.OPEN, 0.0, 1, 1},
            {LinkStates.PARTITIONED, LinkState.OPEN, 0.0, 0, 0},
            {LinkState.OPEN, LinkStates.PARTITIONED, 0.0, 0, 0},
            {LinkStates.OUTBOUND_ONLY, LinkState.OPEN, 0.0, 1, 0},
            {LinkState.OPEN, LinkStates.OUTBOUND_ONLY, 0.0, 0, 1},
            {LOSING, LinkState.OPEN, 0.4, 0, 0},
            {LOSING, LinkState.OPEN, 0.6, 1, 1},
            {DUPLICATING, LinkState.OPEN, 0.4, 2, 2},
            {DUPLICATING, LOSING, 0.4, 0, 0},
            {DELAYED, LinkState.OPEN, 0.0, 1, 1},
        };
    }

    @Test(dataProvider = "links", timeOut = 4 * TIMEOUT_MILLIS)
    public void forwardsAsTheLinksAllow(
            LinkState nearLink,
            LinkState farLink,
            double drawnValue,
            int expectedFar,
            int expectedNear)
            throws Exception {
        draw = drawnValue;
        apply(nearLink, farLink);
        long sentNanos = System.nanoTime();
        send(near, toFar, "x");
        send(far, toNear, "x");
        while (onLoop(() -> toFar.received() + toNear.received()) < 2) {
            Thread.onSpinWait();
        }
        int atFar = 0;
        int atNear = 0;
        for (int i = 0; i < expectedFar + expectedNear; i++) {
            if (received.take().startsWith("far")) {
                atFar++;
            } else {
                atNear++;
            }
        }
        assertTrue(
                nearLink != DELAYED || System.nanoTime() - sentNanos >= DELAY_NANOS,
                "a datagram arrived before the delay of the link");
        assertNothingElseArrives();
        assertEquals(atFar, expectedFar);
        assertEquals(atNear, expectedNear);
    }

    /**
     * Sends one more datagram in each direction on open links. A datagram that has not arrived
     * before these is lost.
     */
    private void assertNothingElseArrives() throws Exception {
        draw = 1;
        apply(LinkState.OPEN, LinkState.OPEN);
        send(near, toFar, "last");
        send(far, toNear, "last");
        for (int end = 0; end < 2; end++) {
            assertTrue(received.take().contains(" last "), "more datagrams arrived than expected");
        }
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        runOnLoop(
                () -> {
                    near.close();
                    far.close();
                    toFar.close();
                    toNear.close();
                });
        loop.stop();
    }
}
