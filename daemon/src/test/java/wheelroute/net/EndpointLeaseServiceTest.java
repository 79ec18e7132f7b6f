package wheelroute.net;

import static org.testng.Assert.assertEquals;
import static wheelroute.net.HttpMessages.CLOSE;
import static wheelroute.net.HttpMessages.NO_RESPONSE;
import static wheelroute.net.HttpMessages.SERVICE_UNAVAILABLE;
import static wheelroute.net.HttpMessages.SUCCESS;
import static wheelroute.net.HttpMessages.endpointList;
import static wheelroute.net.HttpMessages.exchange;
import static wheelroute.net.HttpMessages.jobRequest;
import static wheelroute.net.HttpMessages.okResponse;
import static wheelroute.net.HttpMessages.statusOf;

import org.testng.annotations.Test;
import wheelroute.decision.Idempotency;

/** Discovery is overloaded and answers other dispatchers but not this one. */
public class EndpointLeaseServiceTest extends ServiceHarness {
    private static final String NO_CHANGES = "{\"version\":5,\"full\":false,\"servers\":[]}";
    private static final double STEP_SECONDS = 0.1;

    /** Sum of the 6 s until a change counts as notified and the drain grace of 2 s. */
    private static final double LEASE_SECONDS = 8;

    /** Longest interval between calls under overload, plus half of that interval for jitter. */
    private static final double MAX_CALL_INTERVAL_SECONDS = 30;

    /**
     * By rule 3, no worker is used until the list is confirmed, as any worker may have been removed
     * meanwhile.
     */
    @Test(timeOut = 3 * TIMEOUT_MILLIS)
    public void rejectsRequestsWhileEndpointLeaseIsExpired() throws Exception {
        clock.stop();
        maxTimeoutSeconds = 60;
        workers.defaultResponse = () -> SUCCESS;
        // The first call is a watch that breaks, the second gets no response, all others are
        // rejected.
        discovery.responses.add(CLOSE);
        discovery.responses.add(NO_RESPONSE);
        discovery.defaultResponse = () -> SERVICE_UNAVAILABLE;
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(workers.listen()));
        awaitDiscoveryCalls();
        assertEquals(statusOf(exchange(connect(), jobRequest(2))), 200);
        stepFor(LEASE_SECONDS);
        assertEquals(metric("list_lease_expired"), 1);
        assertEquals(statusOf(exchange(connect(), jobRequest(2))), 503);
        assertEquals(workers.messages.get(), 1);

        discovery.defaultResponse = () -> okResponse(NO_CHANGES);
        for (double elapsedSeconds = 0;
                metric("list_lease_expired") != 0;
                elapsedSeconds += STEP_SECONDS) {
            advanceWithDiscovery(STEP_SECONDS);
            assertEquals(
                    elapsedSeconds < MAX_CALL_INTERVAL_SECONDS,
                    true,
                    "discovery is no longer polled");
        }
        assertEquals(statusOf(exchange(connect(), jobRequest(2))), 200);
    }

    @Test(timeOut = 3 * TIMEOUT_MILLIS)
    public void keepsUsingEndpointListDuringOutage() throws Exception {
        clock.stop();
        workers.defaultResponse = () -> SUCCESS;
        discovery.responses.add(CLOSE);
        discovery.defaultResponse = () -> SERVICE_UNAVAILABLE;
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(workers.listen()));
        awaitDiscoveryCalls();
        stepFor(3 * LEASE_SECONDS);
        assertEquals(metric("list_lease_expired"), 0);
        assertEquals(statusOf(exchange(connect(), jobRequest(2))), 200);
    }

    /**
     * When many dispatchers lose their watches at once, their calls queue up at discovery. The call
     * timeout is therefore the longest at which two calls fit into the recovery time.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void waitsLongerForResponseInLargeFleet() throws Exception {
        clock.stop();
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(workers.listen()), 100);
        awaitDiscoveryCalls();
        // The first call is delayed by the start spread and then held. The watch counts as
        // unresponsive 0.9 s after that.
        stepUntilCallCount(2);
        stepFor(2.2);
        assertEquals(metric("list_calls_total"), 2);
        stepFor(0.5);
        assertEquals(metric("list_calls_total"), 3);
    }

    private void stepUntilCallCount(int calls) throws Exception {
        for (double elapsedSeconds = 0;
                metric("list_calls_total") < calls;
                elapsedSeconds += STEP_SECONDS) {
            advanceWithDiscovery(STEP_SECONDS);
            assertEquals(
                    elapsedSeconds < MAX_CALL_INTERVAL_SECONDS,
                    true,
                    "discovery is no longer polled");
        }
    }

    private void stepFor(double seconds) throws Exception {
        for (double elapsedSeconds = 0; elapsedSeconds < seconds; elapsedSeconds += STEP_SECONDS) {
            advanceWithDiscovery(STEP_SECONDS);
        }
    }
}
