package wheelroute.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static wheelroute.net.HttpMessages.CLOSE;
import static wheelroute.net.HttpMessages.NO_RESPONSE;
import static wheelroute.net.HttpMessages.SUCCESS;
import static wheelroute.net.HttpMessages.endpointList;
import static wheelroute.net.HttpMessages.exchange;
import static wheelroute.net.HttpMessages.jobRequest;
import static wheelroute.net.HttpMessages.okResponse;
import static wheelroute.net.HttpMessages.statusOf;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.config.Config;
import wheelroute.config.ConfigException;
import wheelroute.decision.Idempotency;

/** How the endpoint watch continues after each kind of response or failure of discovery. */
public class EndpointWatchServiceTest extends ServiceHarness {
    private static final String NO_CHANGES = "{\"version\":5,\"full\":false,\"servers\":[]}";
    private static final String HELD_CALL = "GET /v1/servers?from=5&hold_ms=HELD HTTP/1.1";
    private static final String SHORT_CALL = "GET /v1/servers?from=5&hold_ms=0 HTTP/1.1";

    @DataProvider
    public Object[][] discoveryResponses() {
        String text = "{\"version\":7,\"full\":false,\"servers\":[]}";
        String update = okResponse(text);
        return new Object[][] {
            // Each row has the response to the first call, and the call that follows it.
            {update, "/v1/servers?from=7&hold_ms=HELD"},
            {
                update.replace("HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nConnection: close"),
                "/v1/servers?from=7&hold_ms=HELD"
            },
            {okResponse(text.replace("7", "3")), "/v1/servers"},
            {okResponse(text.replace("7", "5")), "/v1/servers?from=5&hold_ms=HELD"},
            {okResponse(text.replace("false", "true")), "/v1/servers?from=7&hold_ms=HELD"},
            {okResponse("nonsense"), "/v1/servers?from=5&hold_ms=0"},
            {"nonsense\r\n\r\n", "/v1/servers?from=5&hold_ms=0"},
            {update.replace("200", "503"), "/v1/servers?from=5&hold_ms=0"},
            {CLOSE, "/v1/servers?from=5&hold_ms=0"},
            {NO_RESPONSE, "/v1/servers?from=5&hold_ms=0"},
        };
    }

    @Test(dataProvider = "discoveryResponses", timeOut = TIMEOUT_MILLIS)
    public void continuesWatchAfterAnyResponse(String response, String call) throws Exception {
        discovery.responses.add(response);
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(workers.listen()));
        assertEquals(discovery.nextFirstLine(), "GET /v1/servers?from=5&hold_ms=HELD HTTP/1.1");
        assertEquals(discovery.nextFirstLine(), "GET " + call + " HTTP/1.1");
    }

    /**
     * A discovery service that neither holds calls nor sends complete lists must not cause a busy
     * loop.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void delaysPollAfterResponsesWithoutChanges() throws Exception {
        String noChanges = okResponse("{\"version\":5,\"full\":false,\"servers\":[]}");
        discovery.responses.addAll(
                List.of(
                        noChanges,
                        noChanges,
                        noChanges,
                        okResponse("{\"version\":1,\"full\":false," + "\"servers\":[]}"),
                        noChanges));
        long before = System.nanoTime();
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(workers.listen()));
        for (int i = 0; i < 4; i++) {
            assertTrue(discovery.nextFirstLine().contains("?from=5"));
        }
        assertTrue((System.nanoTime() - before) / 1e9 > 0.3);
        assertEquals(discovery.nextFirstLine(), "GET /v1/servers HTTP/1.1");
        assertEquals(discovery.nextFirstLine(), "GET /v1/servers HTTP/1.1");
        assertEquals(metric("list_failures_total"), 1);
    }

    /** The complete list is requested until one has been received. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void watchesNewDiscoveryImmediatelyAfterReload() throws Exception {
        workers.responses.addAll(List.of(SUCCESS, SUCCESS));
        serve(Idempotency.IDEMPOTENT, 1024, "{\"version\":5,\"full\":true,\"servers\":[]}");
        discovery.nextFirstLine();
        StubServer other = new StubServer(open);
        Config changedConfig = config(other.listen());
        service.reload(
                () -> {
                    throw new ConfigException("discovery", "is missing");
                });
        service.reload(() -> config);
        assertEquals(statusOf(exchange(connect(), jobRequest(10))), 503);
        assertEquals(discovery.closed.size(), 0);
        other.responses.addAll(
                List.of("nonsense\r\n\r\n", CLOSE, okResponse(endpointList(workers.listen()))));
        service.reload(() -> changedConfig);
        long before = System.nanoTime();
        for (int i = 0; i < 3; i++) {
            assertEquals(other.nextFirstLine(), "GET /v1/servers HTTP/1.1");
        }
        assertEquals(other.nextFirstLine(), "GET /v1/servers?from=5&hold_ms=HELD HTTP/1.1");
        assertTrue((System.nanoTime() - before) / 1e9 < 3);
        assertTrue(discovery.closed.take() > 0);
        assertEquals(statusOf(exchange(connect(), jobRequest(10))), 200);
        service.reload(() -> config);
        assertEquals(discovery.nextFirstLine(), "GET /v1/servers HTTP/1.1");
        assertTrue(other.closed.take() > 0);
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void usesPolledListWithoutCachedEndpoints() throws Exception {
        workers.responses.add(SUCCESS);
        discovery.responses.add(okResponse(endpointList(workers.listen())));
        serve(Idempotency.IDEMPOTENT, 1024, "{\"version\":0,\"full\":true,\"servers\":[]}");
        discovery.nextFirstLine();
        discovery.nextFirstLine();
        assertEquals(statusOf(exchange(connect(), jobRequest(10))), 200);
    }

    /**
     * By rule 3, changes that the watch missed count as notified 6 s after the watch became
     * unresponsive.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void reopensUnresponsiveWatchImmediately() throws Exception {
        clock.stop();
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(workers.listen()));
        assertEquals(discovery.nextFirstLine(), HELD_CALL);
        loop.advance(4.8);
        // The clock is stopped, so a delayed call would never be made.
        assertEquals(discovery.promptFirstLine(), SHORT_CALL);
        // The second call gets no response either: it times out after 1.2 s, and the next follows
        // 0.2 s later.
        loop.advance(1.21);
        loop.advance(0.21);
        assertEquals(discovery.nextFirstLine(), SHORT_CALL);
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void limitsPollRateWhenDiscoveryNeverResponds() throws Exception {
        clock.stop();
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(workers.listen()));
        for (int i = 0; i < 100; i++) {
            loop.advance(0.2);
            // The round trip through the event loop lets a call that is due be made.
            metric("list_calls_total");
        }
        long calls = metric("list_calls_total");
        assertTrue(calls >= 4 && calls <= 9, calls + " calls in 20 s");
    }

    /** A watch that had worked is reopened without delay; a delay only follows a refused call. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void reopensBrokenWatchImmediately() throws Exception {
        clock.stop();
        discovery.responses.addAll(List.of(okResponse(NO_CHANGES.replace("false", "true")), CLOSE));
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(workers.listen()));
        assertEquals(discovery.nextFirstLine(), HELD_CALL);
        assertEquals(discovery.nextFirstLine(), HELD_CALL);
        // The clock is stopped, so a delayed call would never be made.
        assertEquals(discovery.promptFirstLine(), SHORT_CALL);
    }

    /** An incomplete response may contain changes that count as notified. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void timesOutIncompleteResponse() throws Exception {
        clock.stop();
        discovery.responses.add(
                "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"version\":6,\"fu");
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(workers.listen()));
        assertEquals(discovery.nextFirstLine(), HELD_CALL);
        // The first part of the response is read before the clock advances.
        metric("list_calls_total");
        loop.advance(1.01);
        assertEquals(discovery.promptFirstLine(), SHORT_CALL);
    }

    /**
     * Pushed changes count as notified at once, so no backoff is applied, however many calls
     * failed.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void retriesSoonWhereEndpointsArePushed() throws Exception {
        clock.stop();
        endpointsArePushed = true;
        for (int i = 0; i < 10; i++) {
            discovery.responses.add("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
        }
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(workers.listen()));
        for (int i = 0; i < 10; i++) {
            assertEquals(discovery.promptFirstLine(), i == 0 ? HELD_CALL : SHORT_CALL);
            awaitMetric("list_failures_total", i + 1);
            loop.advance(0.25);
        }
    }
}
