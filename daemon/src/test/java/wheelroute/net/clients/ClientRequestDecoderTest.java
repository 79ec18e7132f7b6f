package wheelroute.net.clients;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.PolicyHarness;
import wheelroute.net.http.ResponseParser;
import wheelroute.net.memory.FairShareQuota;
import wheelroute.net.workers.AttemptRequest;

public class ClientRequestDecoderTest {
    /** For a single connection, half of it is a share of its own. */
    private static final long QUOTA_BYTES = 400_000;

    /** With so many connections, the shares are too small to matter. */
    private static final int MANY_CONNECTIONS = 1_000_000;

    /** Limit on the memory for one connection of a client and one of a worker together. */
    private static final long MAX_CONNECTION_BYTES = 20_000;

    private static final String FIELDS =
            "Host: app.svc\r\nX-Request-ID: 9b1f\r\nx-route-key: 7f3a\r\n"
                    + "X-Timeout: 0.480\r\nIdempotency-Key: 5c0f\r\nX-Cost: 12000\r\nX-Retried: 1\r\n"
                    + "X-Attrs: slots=2,memory=1.5\r\nX-Tenant-Id: t\r\n";
    private static final String POST =
            "POST /render/a%20b?q=1&r HTTP/1.1\r\n" + FIELDS + "Content-Length: 5\r\n\r\nhello";
    private static final String CHUNKED =
            "POST /render/a%20b?q=1&r HTTP/1.1\r\n"
                    + FIELDS
                    + "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n";

    private static final String WORKER_RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    + "Content-Length: 5\r\nX-Server-Load: x0=3\r\n\r\nhello";

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    @DataProvider
    public Object[][] requests() {
        return new Object[][] {{POST}, {CHUNKED}};
    }

    @Test(dataProvider = "requests")
    public void decodesRequestSplitAnywhere(String text) throws BadRequestException {
        for (int cut = 1; cut < text.length(); cut++) {
            ClientRequestDecoder decoder =
                    new ClientRequestDecoder(new FairShareQuota(QUOTA_BYTES, 1));
            assertNull(decoder.decode(bytes(text.substring(0, cut))), "request cut at " + cut);
            ClientRequest message = decoder.decode(bytes(text.substring(cut)));
            assertEquals(message.target(), "/render/a%20b?q=1&r");
            assertEquals(message.requestClass(), "render");
            assertEquals(message.id(), "9b1f");
            assertEquals(message.idempotencyKey(), "5c0f");
            assertEquals(message.routeKey(), "7f3a");
            assertEquals(message.tenant(), "t");
            assertEquals(message.timeoutSeconds(), 0.48);
            assertEquals(message.estimatedWork(), 0.012);
            assertEquals(message.slots(), 2.0);
            assertEquals(message.memory(), 1.5);
            assertTrue(message.clientRetry() && message.keepsOpen());
            assertEquals(new String(message.body(), StandardCharsets.UTF_8), "hello");
        }
    }

    /**
     * A dispatcher has thousands of connections to clients and workers. A header cache in each
     * parser would fill the heap.
     */
    @Test
    public void needsLittleMemoryForEachConnection() throws Exception {
        int connections = 100;
        // Each connection gets two messages, as a parser may cache parts of the first one.
        ByteBuffer[] messages = new ByteBuffer[4 * connections];
        ClientRequestDecoder[] decoders = new ClientRequestDecoder[connections];
        ResponseParser[] parsers = new ResponseParser[connections];
        Arrays.setAll(messages, i -> bytes(i % 4 < 2 ? POST : WORKER_RESPONSE));
        // The classes are loaded before the allocations are counted.
        new ClientRequestDecoder(new FairShareQuota(QUOTA_BYTES, 1)).decode(bytes(POST));
        new ResponseParser(new IgnoringHandler(), Set.of()).parse(bytes(WORKER_RESPONSE));
        FairShareQuota quota = new FairShareQuota(100 * QUOTA_BYTES, connections);
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long thread = Thread.currentThread().getId();
        long before = threads.getThreadAllocatedBytes(thread);
        for (int i = 0; i < connections; i++) {
            decoders[i] = new ClientRequestDecoder(quota);
            decoders[i].decode(messages[4 * i]);
            decoders[i].decode(messages[4 * i + 1]);
            parsers[i] = new ResponseParser(new IgnoringHandler(), Set.of());
            parsers[i].parse(messages[4 * i + 2]);
            parsers[i].parse(messages[4 * i + 3]);
        }
        long each = (threads.getThreadAllocatedBytes(thread) - before) / connections;
        assertTrue(
                each > 0 && each < MAX_CONNECTION_BYTES,
                each + " bytes for a client's and a worker's connection");
    }

    private static final class IgnoringHandler implements ResponseParser.Handler {
        @Override
        public void onHeaders(int status, Map<String, String> fields) {
            assertEquals(status, 200);
        }

        @Override
        public void onContent(ByteBuffer bytes) {
            // The test does not check the content.
        }

        @Override
        public void onComplete(boolean keepsOpen) {
            assertTrue(keepsOpen);
        }
    }

    @Test
    public void decodesNextRequestWithoutFieldsOfThePreviousOne() throws BadRequestException {
        ClientRequestDecoder decoder = new ClientRequestDecoder(new FairShareQuota(QUOTA_BYTES, 1));
        ByteBuffer two =
                bytes(POST + "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        decoder.decode(two);
        ClientRequest second = decoder.decode(two);
        assertEquals(second.method() + second.path(), "GET/healthz");
        assertNull(second.id());
        assertEquals(
                decoder.decode(bytes("GET / HTTP/1.1\r\nHost: a\r\nX-Attrs:\r\n\r\n")).slots(),
                1.0);
        assertTrue(Double.isNaN(second.timeoutSeconds()) && Double.isNaN(second.estimatedWork()));
        assertFalse(second.clientRetry() || second.keepsOpen());
        assertEquals(second.body().length, 0);
    }

    @DataProvider
    public Object[][] names() {
        return new Object[][] {
            {"render", "render"},
            {"ren%64er", "render"},
            {"a%20b", "a b"},
            {"a%2Fb", "a/b"},
            {"a.b", "a.b"},
            {"%C3%A9t%C3%A9", "\u00e9t\u00e9"},
            {"\u00e9t%C3%A9", "\u00e9t\u00e9"},
            {"healthz", "healthz"},
        };
    }

    /**
     * Names of request classes and tenants may have characters that a path must escape, or that are
     * not ASCII.
     */
    @Test(dataProvider = "names")
    public void decodesNamesAndForwardsTargetUnchanged(String inPath, String name)
            throws BadRequestException {
        ClientRequest message =
                new ClientRequestDecoder(new FairShareQuota(QUOTA_BYTES, 1))
                        .decode(
                                bytes(
                                        POST.replace("/render/", "/" + inPath + "/")
                                                .replace(
                                                        "X-Tenant-Id: t", "X-Tenant-Id: " + name)));
        assertEquals(message.requestClass(), name);
        assertEquals(message.tenant(), name);
        String sent =
                PolicyHarness.text(
                        new AttemptRequest(
                                        message.method(),
                                        message.target(),
                                        message.id(),
                                        null,
                                        null,
                                        message.body(),
                                        false)
                                .encode("a", 1));
        assertTrue(sent.startsWith("POST /" + inPath + "/a%20b?q=1&r HTTP/1.1\r\n"), sent);
    }

    /** Rows of a message and the expected status of the response. */
    @DataProvider
    public Object[][] invalidMessages() {
        return Stream.of(
                        malformedMessages(),
                        ambiguousLengths(),
                        invalidTargets(),
                        invalidNumbers(),
                        invalidTokens(),
                        unsupportedMessages())
                .flatMap(Arrays::stream)
                .toArray(Object[][]::new);
    }

    private static Object[][] malformedMessages() {
        return new Object[][] {
            {"\u0001\u0002\u0003 nonsense\r\n\r\n", 400},
            {"POST /render HTTP/1.1\r\nX-Timeout 3\r\n\r\n", 400},
            {POST.replace("X-Cost", "X-Timeout"), 400},
            {POST.replace("X-Cost: 12000", "X-Request-Id: 9b1f"), 400},
            {POST.replace("HTTP/1.1", "HTTP/0.9"), 400},
            {POST.replace("Host: app.svc\r\n", ""), 400},
            {POST.replace("X-Cost", "Host"), 400},
            {POST.replace("\r\nX-Cost", "\nX-Cost"), 400},
        };
    }

    /** Returns messages with invalid lengths, or with more than one way to find the body's end. */
    private static Object[][] ambiguousLengths() {
        return new Object[][] {
            {"POST /render HTTP/1.1\r\nHost: a\r\nContent-Length: many\r\n\r\n", 400},
            {POST.replace("X-Cost: 12000", "Content-Length: 5"), 400},
            {POST.replace("Content-Length: 5", "Content-Length: +5"), 400},
            {POST.replace("Content-Length: 5", "Content-Length: -5"), 400},
            {POST.replace("Content-Length: 5", "Content-Length: " + "9".repeat(30)), 400},
            {POST.replace("X-Cost: 12000", "Transfer-Encoding: chunked"), 400},
            {CHUNKED.replace("X-Cost: 12000", "Content-Length: 5"), 400},
            {CHUNKED.replace("chunked", "gzip, chunked"), 400},
            {CHUNKED.replace("X-Cost: 12000", "Transfer-Encoding: chunked"), 400},
            {CHUNKED.replace("\r\n2\r\n", "\r\nzz\r\n"), 400},
        };
    }

    private static Object[][] invalidTargets() {
        return new Object[][] {
            {POST.replace("a%20b", "a%2"), 400},
            {POST.replace("a%20b", "a\u00e9b"), 400},
            {POST.replace("a%20b", "a<b"), 400},
            {POST.replace("/render", "http://app.svc/render"), 400},
        };
    }

    private static Object[][] invalidNumbers() {
        return new Object[][] {
            {POST.replace("0.480", "soon"), 400},
            {POST.replace("0.480", "-1"), 400},
            {POST.replace("0.480", "Infinity"), 400},
            {POST.replace(" 0.480", ""), 400},
            {POST.replace("slots=2", "slots"), 400},
            {POST.replace("slots=2", "slots=two"), 400},
            {POST.replace("0.480", "9".repeat(23)), 400},
            {POST.replace("0.480", "1e1"), 400},
            {POST.replace("0.480", "0x1p3"), 400},
            {POST.replace("0.480", "0.4d"), 400},
            {POST.replace("0.480", "+1"), 400},
            {POST.replace("12000", "NaN"), 400},
        };
    }

    private static Object[][] invalidTokens() {
        return new Object[][] {
            {POST.replace("9b1f", "9b\u00e91f"), 400},
            {POST.replace("9b1f", "9b 1f"), 400},
            {POST.replace("5c0f", "5".repeat(300)), 400},
            {POST.replace("7f3a", ""), 400},
        };
    }

    private static Object[][] unsupportedMessages() {
        return new Object[][] {
            {POST.replace("X-Cost: 12000", "Expect: 100-continue"), 417},
            {POST.replace("Content-Length: 5", "Content-Length: 65537"), 413},
            {CHUNKED.replace("2\r\nhe\r\n", "20000\r\n" + "x".repeat(0x20000) + "\r\n"), 413},
            {POST.replace("9b1f", "9".repeat(9000)), 431},
            {POST.replace("q=1", "q=" + "1".repeat(9000)), 431},
        };
    }

    /** A regular expression with backtracking would overflow the stack on long targets. */
    @Test
    public void decodesTargetsUpToTheLimitOfTheHead() throws BadRequestException {
        for (String part : new String[] {"a".repeat(7500), "%41".repeat(2500)}) {
            String target = "/render/" + part;
            String head = "POST " + target + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
            assertEquals(
                    new ClientRequestDecoder(new FairShareQuota(QUOTA_BYTES, 1))
                            .decode(bytes(head))
                            .target(),
                    target);
        }
    }

    @Test(dataProvider = "invalidMessages")
    public void rejectsInvalidMessageWithStatus(String text, int status) {
        BadRequestException e =
                expectThrows(BadRequestException.class, () -> decodeInPieces(bytes(text)));
        assertEquals(e.status(), status);
    }

    private static void decodeInPieces(ByteBuffer in) throws BadRequestException {
        ClientRequestDecoder decoder = new ClientRequestDecoder(new FairShareQuota(QUOTA_BYTES, 1));
        while (in.hasRemaining()) {
            ByteBuffer piece = in.slice(in.position(), Math.min(1000, in.remaining()));
            in.position(in.position() + piece.remaining());
            decoder.decode(piece);
        }
    }

    /** A quota of which the first come get this much, and there is nothing else. */
    private static FairShareQuota quotaOf(int bytes) {
        return new FairShareQuota(2L * bytes, MANY_CONNECTIONS);
    }

    @Test(dataProvider = "requests")
    public void rejectsBodyThatExceedsTheQuotaOfAllConnections(String text)
            throws BadRequestException {
        String large =
                text.replace("Content-Length: 5", "Content-Length: 5003")
                        .replace("3\r\nllo", "1389\r\nllo" + "x".repeat(4998))
                        .replace("\r\nhello", "\r\nhello" + "x".repeat(4998));
        FairShareQuota quota = quotaOf(11_000);
        ClientRequestDecoder first = new ClientRequestDecoder(quota);
        ClientRequestDecoder second = new ClientRequestDecoder(quota);
        first.decode(bytes(large));
        assertEquals(
                expectThrows(BadRequestException.class, () -> second.decode(bytes(large))).status(),
                503);
        second.release();
        first.release();
        String stalled = POST.replace("Content-Length: 5", "Content-Length: 60000");
        assertNull(
                new ClientRequestDecoder(quota)
                        .decode(bytes(stalled.substring(0, stalled.length() - 3))));
        ClientRequestDecoder third = new ClientRequestDecoder(quota);
        assertEquals(third.decode(bytes(large)).body().length, 5003);
        third.release();
        assertTrue(quota.tryReserve(0, 9_000));
    }

    /** Guards against heads that nothing counts, of clients that send them without an end. */
    @Test
    public void rejectsHeadThatExceedsTheQuotaOfAllConnections() throws BadRequestException {
        String head = "POST /render HTTP/1.1\r\nHost: a\r\n" + "a:1\r\n".repeat(1400);
        FairShareQuota quota = quotaOf(50_000);
        ClientRequestDecoder first = new ClientRequestDecoder(quota);
        ClientRequestDecoder second = new ClientRequestDecoder(quota);
        assertNull(first.decode(bytes(head)));
        assertEquals(
                expectThrows(BadRequestException.class, () -> second.decode(bytes(head))).status(),
                503);
        first.release();
        ClientRequestDecoder third = new ClientRequestDecoder(quota);
        ClientRequest request = third.decode(bytes(head + "Content-Length: 0\r\n\r\n"));
        assertEquals(request.target(), "/render");
        third.release();
        assertEquals(quota.reservedBytes(), 0);
    }

    /** A field of six bytes would take some 130 bytes of the heap. */
    @Test
    public void keepsOnlyTheFieldsThatAreUsed() throws BadRequestException {
        StringBuilder head = new StringBuilder("POST /render HTTP/1.1\r\nX-Request-ID: 9b1f\r\n");
        for (int i = 0; i < 900; i++) {
            head.append("x").append(i).append(":1\r\n");
        }
        ClientRequestDecoder decoder = new ClientRequestDecoder(new FairShareQuota(QUOTA_BYTES, 1));
        assertNull(decoder.decode(bytes(head.toString())));
        assertEquals(decoder.keptFieldCount(), 1);
    }
}
