package wheelroute.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static wheelroute.net.HttpMessages.ACCEPTED;
import static wheelroute.net.HttpMessages.SUCCESS;
import static wheelroute.net.HttpMessages.endpointList;
import static wheelroute.net.HttpMessages.exchange;
import static wheelroute.net.HttpMessages.jobRequest;
import static wheelroute.net.HttpMessages.readMessage;
import static wheelroute.net.HttpMessages.statusOf;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import wheelroute.decision.Idempotency;

/** Requests with the same key run one at a time, in the order of their acceptance. */
public class KeyOrderServiceTest extends ServiceHarness {
    @BeforeMethod
    public void enableKeyOrder() {
        ordered = true;
        maxTimeoutSeconds = 10;
    }

    private static String jobRequestWithKey(int id, String key, double timeoutSeconds) {
        return jobRequest(timeoutSeconds)
                .replace("77", Integer.toString(id))
                .replace("X-Cost", "X-Route-Key: " + key + "\r\nX-Cost");
    }

    private Socket sendOnNewConnection(String message) throws Exception {
        Socket socket = connect();
        socket.getOutputStream().write(message.getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    private String nextRequestId() throws InterruptedException {
        return workers.received
                .poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .replaceAll("(?s).*X-Request-ID: (\\w+).*", "$1");
    }

    /**
     * The cancelled first attempt may still be running, so the next request with its key waits for
     * a quiet period.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void startsNextRequestAfterQuietPeriodWhenFirstClientDisconnects() throws Exception {
        workers.responses.addAll(List.of(ACCEPTED, SUCCESS, SUCCESS));
        serve(Idempotency.NON_IDEMPOTENT, 1024, endpointList(workers.listen(), workers.listen()));
        Socket first = sendOnNewConnection(jobRequestWithKey(11, "a", 9));
        assertEquals(nextRequestId(), "11");
        Socket second = sendOnNewConnection(jobRequestWithKey(12, "a", 9));
        assertEquals(statusOf(exchange(connect(), jobRequestWithKey(13, "b", 9))), 200);
        assertEquals(nextRequestId(), "13", "a request with another key must not wait");
        long disconnectedAt = System.nanoTime();
        first.close();
        assertEquals(nextRequestId(), "12");
        assertTrue(
                System.nanoTime() - disconnectedAt >= 200_000_000L,
                "next request started within the quiet period");
        assertEquals(statusOf(readMessage(second.getInputStream())), 200);
    }

    /**
     * The first request never ends, so the queued one is rejected. The id of the rejected request
     * may be used again at once.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void rejectsQueuedRequestBeforeItsDeadline() throws Exception {
        workers.responses.addAll(List.of(ACCEPTED));
        serve(Idempotency.NON_IDEMPOTENT, 1024, endpointList(workers.listen(), workers.listen()));
        sendOnNewConnection(jobRequestWithKey(11, "a", 9));
        assertEquals(nextRequestId(), "11");
        long sentAt = System.nanoTime();
        Socket client = connect();
        assertEquals(statusOf(exchange(client, jobRequestWithKey(12, "a", 0.8))), 503);
        assertTrue(System.nanoTime() - sentAt < 800_000_000L, "rejected after its deadline");
        assertEquals(
                statusOf(exchange(client, jobRequestWithKey(12, "a", 0.8))),
                503,
                "the id of a rejected request may be used again");
        assertTrue(workers.received.isEmpty());
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void answersQueuedRequestsDuringShutdown() throws Exception {
        maxTimeoutSeconds = 2;
        workers.responses.addAll(List.of(ACCEPTED));
        serve(Idempotency.NON_IDEMPOTENT, 1024, endpointList(workers.listen(), workers.listen()));
        Socket first = sendOnNewConnection(jobRequestWithKey(11, "a", 9));
        assertEquals(nextRequestId(), "11");
        Socket second = sendOnNewConnection(jobRequestWithKey(12, "a", 9));
        Socket third = sendOnNewConnection(jobRequestWithKey(13, "a", 9));
        drain(service);
        assertEquals(
                statusOf(readMessage(first.getInputStream())),
                502,
                "the first request may have run");
        assertEquals(statusOf(readMessage(second.getInputStream())), 503);
        assertEquals(statusOf(readMessage(third.getInputStream())), 503);
    }
}
