package wheelroute.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static wheelroute.net.HttpMessages.HEALTH_CHECK;
import static wheelroute.net.HttpMessages.SUCCESS;
import static wheelroute.net.HttpMessages.endpointList;
import static wheelroute.net.HttpMessages.exchange;
import static wheelroute.net.HttpMessages.jobRequestWithId;
import static wheelroute.net.HttpMessages.readMessage;
import static wheelroute.net.HttpMessages.send;
import static wheelroute.net.HttpMessages.statusOf;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Idempotency;

/** After a process stall, input that waited unread is older than it seems. */
public class ProcessStallServiceTest extends ServiceHarness {
    /**
     * More than the number of clock reads between the arrival of a request and the end of its
     * response.
     */
    private static final int MAX_CLOCK_READS = 80;

    /**
     * Longer than the quiescence time of a connection, shorter than any deadline in these tests.
     */
    private static final double LONGER_THAN_QUIESCENCE_SECONDS = 0.2;

    /** Blocks the event loop's thread until the returned latch is counted down. */
    private CountDownLatch stallEventLoop() throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch resume = new CountDownLatch(1);
        loop.post(
                () -> {
                    blocked.countDown();
                    try {
                        resume.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        blocked.await();
        return resume;
    }

    @DataProvider
    public Object[][] stalledConnections() {
        // Each row has the number of connections, and whether they were open before the stall.
        return new Object[][] {{1, false}, {1, true}, {300, false}, {600, true}};
    }

    /**
     * Unread input may be as old as the stall, so requests without time left are rejected at once.
     */
    @Test(dataProvider = "stalledConnections", timeOut = TIMEOUT_MILLIS)
    public void countsStallAgainstTimeoutsOfUnreadRequests(int count, boolean kept)
            throws Exception {
        clock.stop();
        maxTimeoutSeconds = 60;
        workers.responses.addAll(List.of(SUCCESS, SUCCESS));
        serve(Idempotency.NON_IDEMPOTENT, 2600, endpointList(workers.listen()));
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < count && kept; i++) {
            clients.add(connect());
            exchange(clients.get(i), HEALTH_CHECK);
        }
        CountDownLatch resume = stallEventLoop();
        for (int i = 0; i < count; i++) {
            if (!kept) {
                clients.add(connect());
            }
            send(clients.get(i), jobRequestWithId(100 + i).replace("10.0", "3.8"));
        }
        Socket longTimeout = connect();
        send(longTimeout, jobRequestWithId(99));
        clock.advance(4);
        resume.countDown();
        for (Socket client : clients) {
            assertEquals(statusOf(readMessage(client.getInputStream())), 503);
        }
        assertEquals(statusOf(readMessage(longTimeout.getInputStream())), 200);
        String attempt = workers.received.take();
        assertTrue(attempt.contains("X-Request-ID: 99\r\n"), attempt);
        assertTrue(attempt.contains("X-Timeout: 5.9"), attempt);
        // Requests that arrive after the stall have their full timeout.
        assertEquals(
                statusOf(exchange(clients.get(0), jobRequestWithId(98).replace("10.0", "3.8"))),
                200);
        attempt = workers.received.take();
        assertTrue(attempt.contains("X-Timeout: 3.7"), attempt);
    }

    /** In each round the clock jumps after one more read than in the previous round. */
    @Test(timeOut = 2 * TIMEOUT_MILLIS)
    public void sendsNoAttemptPastDeadlineWhereverProcessStalls() throws Exception {
        clock.stop();
        workers.responses.addAll(Collections.nCopies(2 * MAX_CLOCK_READS, SUCCESS));
        InetSocketAddress[] addresses = new InetSocketAddress[MAX_CLOCK_READS];
        for (int i = 0; i < MAX_CLOCK_READS; i++) {
            // Each round has a worker of its own, as an unresponsive one is avoided for a while.
            addresses[i] = workers.listen();
        }
        serve(Idempotency.NON_IDEMPOTENT, 1024, endpointList(addresses));
        int attempts = 0;
        for (int reads = 1; reads <= MAX_CLOCK_READS; reads++) {
            Socket client = connect();
            exchange(client, HEALTH_CHECK);
            // After the quiescence time the connections to workers are reused.
            loop.advance(LONGER_THAN_QUIESCENCE_SECONDS);
            workers.received.clear();
            clock.jumpAfterReads(reads, 4);
            // The harness limits timeouts to 2 s.
            int status = statusOf(exchange(client, jobRequestWithId(10 + reads)));
            assertTrue(List.of(200, 502, 503).contains(status), reads + " reads: " + status);
            loop.awaitPendingTasks();
            for (String message = workers.received.poll();
                    message != null;
                    message = workers.received.poll()) {
                attempts++;
                assertTrue(
                        message.matches("(?s).*X-Timeout: [0-9.]*[1-9].*"),
                        reads + " reads: " + message);
            }
        }
        assertTrue(attempts > 0, "no attempt was sent");
    }
}
