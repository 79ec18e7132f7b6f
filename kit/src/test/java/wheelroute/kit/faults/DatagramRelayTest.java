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
import wheelroute.net.loop.DatagramSocket;

/** A pair of ways for datagrams on loopback sockets: what passes, what is lost, late, doubled. */
public class DatagramRelayTest extends EventLoopHarness {
    private static final double FULL = Double.POSITIVE_INFINITY;
    private static final LinkState CUT = new LinkState(false, false, false, 0, 0, 0, FULL, 0);
    private static final LinkState HEARD_ONLY = new LinkState(false, true, false, 0, 0, 0, FULL, 0);
    private static final LinkState LOSSY = new LinkState(false, true, true, 0, 0, 0.5, FULL, 0);
    private static final LinkState DOUBLED = new LinkState(false, true, true, 0, 0, 0, FULL, 0.5);
    private static final LinkState LATE = new LinkState(false, true, true, 0.05, 0, 0, FULL, 0);

    private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
    private volatile double chance = 0;
    private DatagramSocket near;
    private DatagramSocket far;
    private DatagramRelay forth;
    private DatagramRelay back;

    private DatagramSocket socket(String name) throws Exception {
        return new DatagramSocket(
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                256,
                (from, bytes) ->
                        heard.add(
                                name
                                        + " "
                                        + StandardCharsets.UTF_8.decode(bytes)
                                        + " "
                                        + from.getPort()));
    }

    @BeforeMethod
    public void begin() throws Exception {
        heard.clear();
        startLoop();
        onLoop(
                () -> {
                    near = socket("near");
                    far = socket("far");
                    forth = new DatagramRelay(loop, () -> far.address(), () -> chance);
                    back = new DatagramRelay(loop, () -> near.address(), () -> chance);
                    forth.pairWith(back);
                    back.pairWith(forth);
                    return null;
                });
    }

    private void send(DatagramSocket from, DatagramRelay way, String text) throws Exception {
        onLoop(
                () -> {
                    from.send(
                            way.address(), ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
                    return null;
                });
    }

    private void set(LinkState nears, LinkState fars) throws Exception {
        onLoop(
                () -> {
                    forth.apply(nears, fars);
                    back.apply(fars, nears);
                    return null;
                });
    }

    /** Whoever is sent to can answer to the address that it comes from. */
    @Test(timeOut = 2 * PATIENCE)
    public void itComesFromTheWayThatLeadsBack() throws Exception {
        send(near, forth, "one");
        assertEquals(heard.take(), "far one " + back.address().getPort());
        send(far, back, "two");
        assertEquals(heard.take(), "near two " + forth.address().getPort());
    }

    @DataProvider
    public Object[][] harms() {
        return new Object[][] {
            // the near one's way, the far one's, chance, how many come of one there and one back
            {LinkState.OPEN, LinkState.OPEN, 0.0, 1, 1},
            {CUT, LinkState.OPEN, 0.0, 0, 0},
            {LinkState.OPEN, CUT, 0.0, 0, 0},
            {HEARD_ONLY, LinkState.OPEN, 0.0, 1, 0},
            {LinkState.OPEN, HEARD_ONLY, 0.0, 0, 1},
            {LOSSY, LinkState.OPEN, 0.4, 0, 0},
            {LOSSY, LinkState.OPEN, 0.6, 1, 1},
            {DOUBLED, LinkState.OPEN, 0.4, 2, 2},
            {DOUBLED, LOSSY, 0.4, 0, 0},
            {LATE, LinkState.OPEN, 0.0, 1, 1},
        };
    }

    /** What passes is followed by one on an open way: whatever had not come by then is lost. */
    @Test(dataProvider = "harms", timeOut = 4 * PATIENCE)
    public void whatPassesIsAsManyAsItShouldBe(
            LinkState nears, LinkState fars, double draw, int there, int hither) throws Exception {
        chance = draw;
        set(nears, fars);
        long from = System.nanoTime();
        send(near, forth, "x");
        send(far, back, "x");
        while (onLoop(() -> forth.received() + back.received()) < 2) {
            Thread.onSpinWait();
        }
        int expected = there + hither;
        int far = 0;
        int near = 0;
        for (int i = 0; i < expected; i++) {
            if (heard.take().startsWith("far")) {
                far++;
            } else {
                near++;
            }
        }
        assertTrue(nears != LATE || System.nanoTime() - from >= 50_000_000L, "it came too soon");
        chance = 1;
        set(LinkState.OPEN, LinkState.OPEN);
        send(this.near, forth, "last");
        send(this.far, back, "last");
        for (int end = 0; end < 2; end++) {
            assertTrue(heard.take().contains(" last "), "more came");
        }
        assertEquals(far, there);
        assertEquals(near, hither);
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        onLoop(
                () -> {
                    near.close();
                    far.close();
                    forth.close();
                    back.close();
                    return null;
                });
        loop.stop();
    }
}
