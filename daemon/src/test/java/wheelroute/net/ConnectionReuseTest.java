package wheelroute.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static wheelroute.net.HttpMessages.CLOSE;
import static wheelroute.net.HttpMessages.REJECTION;
import static wheelroute.net.HttpMessages.SUCCESS;
import static wheelroute.net.HttpMessages.endpointList;
import static wheelroute.net.HttpMessages.exchange;
import static wheelroute.net.HttpMessages.jobRequest;
import static wheelroute.net.HttpMessages.jobRequestWithId;
import static wheelroute.net.HttpMessages.readMessage;
import static wheelroute.net.HttpMessages.send;
import static wheelroute.net.HttpMessages.statusOf;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Idempotency;

/** When connections to workers and clients are reused, and when they are closed instead. */
public class ConnectionReuseTest extends ServiceHarness {
    /**
     * Longer than the quiescence time of a connection, shorter than any deadline in these tests.
     */
    private static final double LONGER_THAN_QUIESCENCE_SECONDS = 0.2;

    @Test(timeOut = TIMEOUT_MILLIS)
    public void reusesConnectionsOnBothSides() throws Exception {
        workers.responses.addAll(List.of(SUCCESS, SUCCESS, SUCCESS));
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(workers.listen()));
        Socket client = connect();
        String bothResponses =
                exchange(client, jobRequest(10) + jobRequest(10))
                        + readMessage(client.getInputStream());
        assertEquals(bothResponses.split("fine", -1).length, 3, bothResponses);
        assertEquals(statusOf(exchange(client, jobRequest(10))), 200);
        assertEquals(workers.connections.get(), 1);
    }

    /**
     * The client is answered as soon as the result is complete, but the connection to the worker is
     * not reused.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void closesWorkerConnectionWithUnreadResponseTail() throws Exception {
        workers.responses.addAll(List.of(SUCCESS.substring(0, SUCCESS.length() - 5), SUCCESS));
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(workers.listen()));
        assertEquals(statusOf(exchange(connect(), jobRequest(10))), 200);
        assertEquals(statusOf(exchange(connect(), jobRequest(10))), 200);
        assertEquals(workers.connections.get(), 2);
        // The connection is closed because a worker that never sends its last chunks would
        // otherwise hold one connection for each attempt.
        assertEquals(workers.closed.take().intValue(), 1);
    }

    /** An idle connection that the worker closes does not count as a failure of the worker. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void countsBrokenIdleConnectionAsStale() throws Exception {
        workers.responses.addAll(List.of(SUCCESS, CLOSE, SUCCESS));
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(workers.listen()));
        assertEquals(statusOf(exchange(connect(), jobRequest(10))), 200);
        assertEquals(statusOf(exchange(connect(), jobRequest(10))), 200);
        assertEquals(metric("launch_ends_total{end=\"stale\"}"), 1);
        assertEquals(metric("launch_ends_total{end=\"broke\"}"), 0);
    }

    /**
     * A late second response to an earlier attempt must not be mistaken for the response to the
     * current one.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void sendsNonIdempotentRequestOnConnectionWithoutPendingBytes() throws Exception {
        clock.stop();
        workers.responses.add(SUCCESS);
        serve(Idempotency.NON_IDEMPOTENT, 1024, endpointList(workers.listen()));
        Socket first = connect();
        assertEquals(statusOf(exchange(first, jobRequest(10))), 200);
        Socket previousConnection = workers.lastConnection;
        workers.received.clear();
        Socket second = connect();
        send(second, jobRequestWithId(88));
        workers.nextFirstLine();
        previousConnection.getOutputStream().write(REJECTION.getBytes(StandardCharsets.UTF_8));
        // The second attempt, to which the late response might be attributed, succeeds.
        assertTrue(
                workers.lastConnection != previousConnection,
                "sent on a connection that may still carry a response to the previous request");
        workers.sendUnsolicited(SUCCESS.replace("ID", "88"));
        assertEquals(statusOf(readMessage(second.getInputStream())), 200);
        assertEquals(workers.messages.get(), 2, "second request attempted more than once");
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void reusesConnectionForNonIdempotentRequestAfterQuiescence() throws Exception {
        clock.stop();
        workers.responses.addAll(List.of(SUCCESS, SUCCESS, SUCCESS));
        serve(Idempotency.NON_IDEMPOTENT, 1024, endpointList(workers.listen()));
        assertEquals(statusOf(exchange(connect(), jobRequest(10))), 200);
        loop.advance(LONGER_THAN_QUIESCENCE_SECONDS);
        assertEquals(statusOf(exchange(connect(), jobRequestWithId(88))), 200);
        assertEquals(workers.connections.get(), 1);
        assertEquals(statusOf(exchange(connect(), jobRequestWithId(99))), 200);
        assertEquals(workers.connections.get(), 2);
    }

    /**
     * The error response may belong to the earlier attempt, so the current attempt may still be
     * running at the worker.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void closesRecentlyUsedConnectionOnErrorResponse() throws Exception {
        clock.stop();
        workers.responses.add(SUCCESS);
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(workers.listen()));
        assertEquals(statusOf(exchange(connect(), jobRequest(10))), 200);
        workers.received.clear();
        Socket second = connect();
        send(second, jobRequestWithId(88));
        workers.nextFirstLine();
        assertEquals(workers.connections.get(), 1);
        workers.sendUnsolicited("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
        assertEquals(
                workers.closed.poll(TIMEOUT_MILLIS / 2, TimeUnit.MILLISECONDS),
                Integer.valueOf(1),
                "the attempt may still be running");
    }

    @DataProvider
    public Object[][] strayBytes() {
        return new Object[][] {{"HTTP/1.1 5"}, {"\r\n"}, {REJECTION}, {SUCCESS}};
    }

    /** Stray bytes would be read as the beginning of the next response. */
    @Test(dataProvider = "strayBytes", timeOut = TIMEOUT_MILLIS)
    public void closesIdleConnectionThatReceivesBytes(String stray) throws Exception {
        // With the clock stopped, the idle connection does not expire.
        clock.stop();
        workers.responses.addAll(List.of(SUCCESS, SUCCESS));
        serve(Idempotency.NON_IDEMPOTENT, 1024, endpointList(workers.listen()));
        assertEquals(statusOf(exchange(connect(), jobRequest(10))), 200);
        workers.sendUnsolicited(stray);
        assertEquals(
                workers.closed.poll(TIMEOUT_MILLIS / 2, TimeUnit.MILLISECONDS),
                Integer.valueOf(1),
                "connection with stray bytes not closed");
        assertEquals(statusOf(exchange(connect(), jobRequestWithId(88))), 200);
    }
}
