package wheelroute.net;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.Test;
import wheelroute.decision.Idempotency;
import wheelroute.net.metrics.Counters;

/** A discovery that is up, and answers everybody but this dispatcher. */
public class EndpointLeaseServiceTest extends ServiceHarness {
    private static final String TURNED_AWAY = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
    private static final String CONFIRMED = "{\"version\":5,\"full\":false,\"servers\":[]}";
    private static final double STEP = 0.1;

    /** 6 s until a change counts as known, and the grace of 2 s. */
    private static final double LIST_IS_TOO_OLD = 8;

    /** The longest interval of calls under overload, and half as much again by chance. */
    private static final double CALLED_AGAIN = 30;

    /**
     * Rule 3: any worker may have left meanwhile, so none is sent to until the list is confirmed.
     */
    @Test(timeOut = 3 * TIMEOUT_MILLIS)
    public void nothingIsSentByAListThatMayBeOutOfDate() throws Exception {
        clock.stop();
        maxTimeoutSeconds = 60;
        workers.defaultResponse = () -> DONE;
        // The first call is a watch that breaks, the second is left waiting, then all are turned
        // away.
        discovery.responses.add(BREAK);
        discovery.responses.add(SILENCE);
        discovery.defaultResponse = () -> TURNED_AWAY;
        serve(Idempotency.IDEMPOTENT, 1024, known(workers.listen()));
        assertEquals(status(ask(connect(), post(2))), 200);
        passUntil(LIST_IS_TOO_OLD);
        assertEquals(metric("list_lease_expired"), 1);
        assertEquals(status(ask(connect(), post(2))), 503);
        assertEquals(workers.messages.get(), 1);

        discovery.defaultResponse = () -> http(CONFIRMED);
        for (double passed = 0; metric("list_lease_expired") != 0; passed += STEP) {
            step();
            assertEquals(passed < CALLED_AGAIN, true, "it is not asked any more");
        }
        assertEquals(status(ask(connect(), post(2))), 200);
    }

    /** The same list is used for as long as discovery is down. */
    @Test(timeOut = 3 * TIMEOUT_MILLIS)
    public void anOutageDoesNotEndTheUseOfTheList() throws Exception {
        clock.stop();
        workers.defaultResponse = () -> DONE;
        discovery.responses.add(BREAK);
        discovery.defaultResponse = () -> TURNED_AWAY;
        serve(Idempotency.IDEMPOTENT, 1024, known(workers.listen()));
        passUntil(3 * LIST_IS_TOO_OLD);
        assertEquals(metric("list_lease_expired"), 0);
        assertEquals(status(ask(connect(), post(2))), 200);
    }

    /**
     * Many dispatchers lose their watches at one moment and queue up at discovery: a call keeps its
     * place for as long as two of them fit into the recovery time.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void aLargeFleetKeepsItsPlacesInTheQueue() throws Exception {
        clock.stop();
        serve(Idempotency.IDEMPOTENT, 1024, known(workers.listen()), 100);
        // The first call waits for its turn, and is held; 0.9 s past that the watch is silent.
        passUntilCalls(2);
        passUntil(2.2);
        assertEquals(metric("list_calls_total"), 2);
        passUntil(0.5);
        assertEquals(metric("list_calls_total"), 3);
    }

    private void passUntilCalls(int calls) throws Exception {
        for (double passed = 0; metric("list_calls_total") < calls; passed += STEP) {
            step();
            assertEquals(passed < CALLED_AGAIN, true, "it is not asked any more");
        }
    }

    private void passUntil(double seconds) throws Exception {
        for (double passed = 0; passed < seconds; passed += STEP) {
            step();
        }
    }

    /** With what a call that goes out meanwhile is answered. */
    private void step() throws Exception {
        long before = service.counters().value(Counters.Counter.DISCOVERY_CALLS);
        loop.step(STEP);
        if (service.counters().value(Counters.Counter.DISCOVERY_CALLS) != before) {
            while (service.counters().value(Counters.Counter.DISCOVERY_CALLS)
                    != discovery.messages.get()) {
                LockSupport.parkNanos(100_000);
            }
            // A round trip, in which the answer is read.
            metric("list_calls_total");
        }
    }
}
