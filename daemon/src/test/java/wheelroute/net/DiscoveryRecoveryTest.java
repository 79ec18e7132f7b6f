package wheelroute.net;

import static org.testng.Assert.assertTrue;
import static wheelroute.net.HttpMessages.CLOSE;
import static wheelroute.net.HttpMessages.NO_RESPONSE;
import static wheelroute.net.HttpMessages.SERVICE_UNAVAILABLE;
import static wheelroute.net.HttpMessages.endpointList;
import static wheelroute.net.HttpMessages.okResponse;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Idempotency;
import wheelroute.net.metrics.Counters;

/**
 * Tests that endpoint changes are received within the recovery time after each kind of discovery
 * outage.
 */
public class DiscoveryRecoveryTest extends ServiceHarness {
    private static final double OUTAGE_SECONDS = 17;
    private static final double STEP_SECONDS = 0.1;

    /**
     * Longest time allowed from the end of the outage to the complete response, as changes count as
     * notified after 6 s.
     */
    private static final double MAX_RECOVERY_SECONDS = 4.8;

    /** Number of outages in each test, as the random backoff delays differ between outages. */
    private static final int OUTAGE_COUNT = 3;

    private static final String HALF_A_RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"version\":6,";

    private static final Counters.Counter CALLS = Counters.Counter.DISCOVERY_CALLS;
    private static final Counters.Counter FAILURES = Counters.Counter.DISCOVERY_FAILURES;

    private int refusedPort;
    private long version = 5;

    private enum OutageKind {
        REFUSES_CONNECTION,
        RESPONDS_503,
        DOES_NOT_RESPOND,
        STOPS_MID_RESPONSE,
        CLOSES_CONNECTION,
        DOES_NOT_COMPLETE_HANDSHAKE
    }

    private enum EndOfOutage {
        /** A call has just failed, so the whole backoff delay follows. */
        AFTER_FAILED_CALL,
        /** A call has just begun, so its timeout follows and then the backoff delay. */
        AFTER_CALL_BEGAN
    }

    @DataProvider
    public Object[][] outages() {
        return new Object[][] {
            {OutageKind.REFUSES_CONNECTION, EndOfOutage.AFTER_FAILED_CALL},
            {OutageKind.RESPONDS_503, EndOfOutage.AFTER_FAILED_CALL},
            {OutageKind.CLOSES_CONNECTION, EndOfOutage.AFTER_FAILED_CALL},
            {OutageKind.DOES_NOT_RESPOND, EndOfOutage.AFTER_FAILED_CALL},
            {OutageKind.DOES_NOT_RESPOND, EndOfOutage.AFTER_CALL_BEGAN},
            {OutageKind.STOPS_MID_RESPONSE, EndOfOutage.AFTER_FAILED_CALL},
            {OutageKind.STOPS_MID_RESPONSE, EndOfOutage.AFTER_CALL_BEGAN},
            // No call reaches discovery, so the outage can only end after a failed call.
            {OutageKind.DOES_NOT_COMPLETE_HANDSHAKE, EndOfOutage.AFTER_FAILED_CALL},
        };
    }

    /**
     * By rule 3, workers that drained or were removed during the outage must be known as such
     * before these changes count as notified.
     */
    @Test(dataProvider = "outages", timeOut = 6 * TIMEOUT_MILLIS)
    public void receivesChangesWithinRecoveryTimeAfterOutage(OutageKind kind, EndOfOutage end)
            throws Exception {
        clock.stop();
        InetSocketAddress worker = workers.listen();
        respondOnceThenHold(endpointList(worker));
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(worker));
        while (count(CALLS) < 2) {
            LockSupport.parkNanos(100_000);
        }
        awaitDiscoveryCalls();
        double longestSeconds = 0;
        for (int i = 0; i < OUTAGE_COUNT; i++) {
            beginOutage(kind);
            for (double elapsed = 0; elapsed < OUTAGE_SECONDS; elapsed += STEP_SECONDS) {
                advanceWithDiscovery(STEP_SECONDS);
            }
            // The outage continues until the least favourable moment for it to end.
            Counters.Counter awaited = end == EndOfOutage.AFTER_FAILED_CALL ? FAILURES : CALLS;
            for (long before = count(awaited); count(awaited) == before; ) {
                advanceWithDiscovery(STEP_SECONDS);
            }
            endOutage(kind, worker, i % 2 == 0);
            double waitedSeconds = 0;
            while (metric("workers_listed") != 1 + (i + 1) % 2) {
                advanceWithDiscovery(STEP_SECONDS);
                waitedSeconds += STEP_SECONDS;
                assertTrue(waitedSeconds < 20, "discovery is no longer polled");
            }
            longestSeconds = Math.max(longestSeconds, waitedSeconds);
        }
        assertTrue(
                longestSeconds <= MAX_RECOVERY_SECONDS + STEP_SECONDS,
                "complete list received only after " + longestSeconds + " s");
    }

    private long count(Counters.Counter counter) {
        return service.counters().value(counter);
    }

    private void beginOutage(OutageKind kind) throws Exception {
        // A call that discovery has not read yet would be lost with the connection.
        awaitDiscoveryCalls();
        switch (kind) {
            case REFUSES_CONNECTION -> closeListeningSocket();
            case RESPONDS_503 -> discovery.defaultResponse = () -> SERVICE_UNAVAILABLE;
            case DOES_NOT_RESPOND -> discovery.defaultResponse = () -> NO_RESPONSE;
            case STOPS_MID_RESPONSE -> discovery.defaultResponse = () -> HALF_A_RESPONSE;
            case CLOSES_CONNECTION -> discovery.defaultResponse = () -> CLOSE;
            default -> loop.holdConnects(Set.of(config.discovery()));
        }
        // From here on, the open watch either is closed or gets no response.
        if (kind != OutageKind.DOES_NOT_RESPOND && discovery.lastConnection != null) {
            discovery.lastConnection.close();
        }
    }

    private void closeListeningSocket() throws Exception {
        refusedPort = config.discovery().getPort();
        for (AutoCloseable resource : List.copyOf(open)) {
            if (resource instanceof ServerSocket server && server.getLocalPort() == refusedPort) {
                server.close();
            }
        }
    }

    private void endOutage(OutageKind kind, InetSocketAddress worker, boolean twoWorkers)
            throws Exception {
        String list =
                (twoWorkers
                                ? endpointList(
                                        worker, new InetSocketAddress(worker.getAddress(), 9))
                                : endpointList(worker))
                        .replace("\"version\":5", "\"version\":" + ++version);
        respondOnceThenHold(list);
        if (kind == OutageKind.REFUSES_CONNECTION) {
            discovery.listen(refusedPort);
        } else if (kind == OutageKind.DOES_NOT_COMPLETE_HANDSHAKE) {
            loop.releaseAll();
        }
    }

    /**
     * Answers the next call with the list, and leaves all later calls without a response, as
     * discovery does while it holds a watch.
     */
    private void respondOnceThenHold(String list) {
        AtomicBoolean listSent = new AtomicBoolean();
        discovery.defaultResponse = () -> listSent.getAndSet(true) ? NO_RESPONSE : okResponse(list);
    }
}
