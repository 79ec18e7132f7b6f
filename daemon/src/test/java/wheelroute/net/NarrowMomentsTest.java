package wheelroute.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Effect;
import wheelroute.decision.Ids;
import wheelroute.decision.Submission;
import wheelroute.net.clients.ClientAnswer;
import wheelroute.net.clients.ClientMessage;
import wheelroute.net.clients.Submitters;

/** Two events that cross, each put into the order that does harm: docs/narrow-moments.md tells of each. */
public class NarrowMomentsTest extends ServiceHarness {
    /** Longer than any connection's rest, shorter than any outer limit. */
    private static final double WHILE = 0.2;

    private void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String job(int id) {
        return post(10).replace("77", Integer.toString(id));
    }

    /** What it hears without any time passing. */
    private static String soon(Stub stub) throws InterruptedException {
        String heard = stub.heard.poll(2, TimeUnit.SECONDS);
        return heard == null ? "nothing came" : held(heard.substring(0, heard.indexOf("\r\n")));
    }

    private void await(String figure, long value) throws IOException {
        while (metric(figure) != value) {
            LockSupport.parkNanos(1_000_000);
        }
    }

    // ---- list watches

    private static String http(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static final String NOTHING_NEW = "{\"version\":5,\"full\":false,\"servers\":[]}";
    private static final String HELD_CALL = "GET /v1/servers?from=5&hold_ms=HELD HTTP/1.1";
    private static final String SHORT_CALL = "GET /v1/servers?from=5&hold_ms=0 HTTP/1.1";

    /** Rule 3: a silent watch is opened anew long before what it kept back counts as told, and twice. */
    @Test(timeOut = PATIENCE)
    public void aSilentWatchIsOpenedAnewAtOnce() throws Exception {
        clock.stop();
        serve(Effect.IDEMPOTENT, 1024, known(workers.listen()));
        assertEquals(discovery.next(), HELD_CALL);
        loop.step(4.8);
        // No time passes here: a pause would not end.
        assertEquals(soon(discovery), SHORT_CALL);
        // The second is silent as well: known 1.2 s later, and asked again 0.2 s after that, 6.2 s in all.
        loop.step(1.2);
        loop.step(0.2);
        assertEquals(discovery.next(), SHORT_CALL);
    }

    /** A discovery that never answers is not asked in haste for ever. */
    @Test(timeOut = PATIENCE)
    public void aDiscoveryThatStaysSilentIsLeftInPeace() throws Exception {
        clock.stop();
        serve(Effect.IDEMPOTENT, 1024, known(workers.listen()));
        for (int i = 0; i < 100; i++) {
            loop.step(0.2);
        }
        long calls = discovery.messages.get();
        assertTrue(calls >= 4 && calls <= 9, calls + " calls in 20 s");
    }

    /** A watch that worked and then breaks is opened anew at once, and a refused one after a pause. */
    @Test(timeOut = PATIENCE)
    public void aBrokenWatchIsOpenedAnewAtOnce() throws Exception {
        clock.stop();
        discovery.answers.addAll(List.of(http(NOTHING_NEW.replace("false", "true")), BREAK));
        serve(Effect.IDEMPOTENT, 1024, known(workers.listen()));
        assertEquals(discovery.next(), HELD_CALL);
        assertEquals(discovery.next(), HELD_CALL);
        // The one after the break: no time has passed.
        assertEquals(soon(discovery), HELD_CALL);
    }

    /** Where the agent's news count as told unasked, no failure is waited out, the tenth no more than the first. */
    @Test(timeOut = PATIENCE)
    public void aPushedListIsAskedForAgainSoon() throws Exception {
        clock.stop();
        pushed = true;
        for (int i = 0; i < 10; i++) {
            discovery.answers.add("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
        }
        serve(Effect.IDEMPOTENT, 1024, known(workers.listen()));
        for (int i = 0; i < 10; i++) {
            assertEquals(soon(discovery), HELD_CALL);
            await("list_failures_total", i + 1);
            loop.step(0.25);
        }
    }
}
