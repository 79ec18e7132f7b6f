package wheelroute.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static wheelroute.net.HttpMessages.HEALTH_CHECK;
import static wheelroute.net.HttpMessages.SUCCESS;
import static wheelroute.net.HttpMessages.endpointList;
import static wheelroute.net.HttpMessages.exchange;
import static wheelroute.net.HttpMessages.jobRequest;
import static wheelroute.net.HttpMessages.jobRequestWithId;
import static wheelroute.net.HttpMessages.readMessage;
import static wheelroute.net.HttpMessages.send;
import static wheelroute.net.HttpMessages.statusOf;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.BackgroundTask;
import wheelroute.decision.Idempotency;
import wheelroute.net.memory.HeapBudget;

/** Requests that a client sends before it has received the response to its previous one. */
public class PipeliningTest extends ServiceHarness {
    /** With this heap, there is room for some 20 KB of pipelined input. */
    private static final long SMALL_HEAP_BYTES = 400_000;

    /** Half of the budget for pipelined input on a large heap. */
    private static final long MIN_KEPT_BYTES = 2L * 1024 * 1024;

    /** The budget, and one read of each of the 24 connections. */
    private static final long MAX_KEPT_BYTES = 4L * 1024 * 1024 + 24 * 16 * 1024;

    @Test(timeOut = TIMEOUT_MILLIS)
    public void servesLargePipelinedRequestsInOrder() throws Exception {
        workers.responses.addAll(List.of(SUCCESS, SUCCESS, SUCCESS, SUCCESS, SUCCESS));
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(workers.listen()));
        Socket client = connect();
        String large =
                jobRequest(10)
                        .replace(
                                "Content-Length: 2\r\n\r\nhi",
                                "Content-Length: 60000\r\n\r\n" + "h".repeat(60_000));
        BackgroundTask.start(
                () ->
                        client.getOutputStream()
                                .write(large.repeat(5).getBytes(StandardCharsets.UTF_8)));
        for (int i = 0; i < 5; i++) {
            assertEquals(statusOf(readMessage(client.getInputStream())), 200);
        }
        assertTrue(workers.received.take().endsWith("h".repeat(60_000)));
    }

    /** Pipelined input is read ahead only up to a bound, and none of it is lost. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void answersManyPipelinedRequestsInOrder() throws Exception {
        workers.responses.add(SUCCESS);
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(workers.listen()));
        Socket client = connect();
        int healthChecks = 10_000;
        BackgroundTask.start(
                () -> send(client, HEALTH_CHECK.repeat(healthChecks) + jobRequestWithId(88)));
        for (int i = 0; i < healthChecks; i++) {
            assertEquals(statusOf(readMessage(client.getInputStream())), 200);
        }
        assertTrue(readMessage(client.getInputStream()).endsWith("\r\n\r\nfine"));
    }

    /** Connections with much pipelined input share one budget and do not affect other clients. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void boundsPipelinedInputOfAllConnectionsTogether() throws Exception {
        // With the clock stopped, no worker is considered unresponsive.
        clock.stop();
        maxTimeoutSeconds = 60;
        int clients = 24;
        InetSocketAddress[] addresses = new InetSocketAddress[clients];
        for (int i = 0; i < clients; i++) {
            // Each request has a worker of its own, so that none is rejected.
            addresses[i] = workers.listen();
        }
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(addresses));
        for (int i = 0; i < clients; i++) {
            Socket sender = connect();
            send(sender, jobRequestWithId(100 + i).replace("10.0", "60.0"));
            workers.nextFirstLine();
        }
        for (AutoCloseable resource : List.copyOf(open)) {
            if (resource instanceof Socket client && client.getPort() == port) {
                client.getOutputStream().write(new byte[200_000]);
            }
        }
        // More bytes arrive than the budget allows. They are read, to notice the end of the stream,
        // but only kept until the budget is used up.
        while (loop.bytesRead.get() < clients * 200_000L) {
            loop.advance(0.01);
        }
        long keptBytes = reservedForPipelinedInput();
        assertTrue(keptBytes > MIN_KEPT_BYTES, "little of the budget is used: " + keptBytes);
        assertTrue(keptBytes < MAX_KEPT_BYTES, "the budget is exceeded: " + keptBytes);
        assertEquals(statusOf(exchange(connect(), HEALTH_CHECK)), 200);
        assertEquals(metric("submissions_open"), clients);
    }

    private long reservedForPipelinedInput() throws Exception {
        CompletableFuture<Long> reserved = new CompletableFuture<>();
        loop.post(() -> reserved.complete(heapBudget.pipelinedInput().reservedBytes()));
        return reserved.get();
    }

    /**
     * Guards against input that is discarded without a word: complete messages before it are
     * served, and the first one that is incomplete is rejected.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void rejectsInputForWhichThereIsNoRoomAfterServingWhatIsBuffered() throws Exception {
        workers.responses.addAll(List.of(SUCCESS, SUCCESS));
        heapBudget = new HeapBudget(SMALL_HEAP_BYTES, MAX_CLIENT_CONNECTIONS);
        serve(Idempotency.NON_IDEMPOTENT, 1024, endpointList(workers.listen()));
        Socket client = connect();
        String large =
                jobRequestWithId(99)
                        .replace(
                                "Content-Length: 2\r\n\r\nhi",
                                "Content-Length: 60000\r\n\r\n" + "h".repeat(60_000));
        send(client, jobRequestWithId(77) + jobRequestWithId(88) + large.repeat(5));
        assertEquals(statusOf(readMessage(client.getInputStream())), 200);
        assertEquals(statusOf(readMessage(client.getInputStream())), 200);
        String rejection = readMessage(client.getInputStream());
        assertEquals(statusOf(rejection), 503);
        assertTrue(rejection.contains("Connection: close"), rejection);
        assertEquals(client.getInputStream().read(), -1);
        assertEquals(workers.messages.get(), 2);
    }

    @DataProvider
    public Object[][] timeoutsOfPipelinedRequest() {
        return new Object[][] {{"1.0", 503}, {"5.0", 200}};
    }

    /**
     * The timeout runs from the arrival of the request, not from the moment at which it is decoded.
     */
    @Test(dataProvider = "timeoutsOfPipelinedRequest", timeOut = TIMEOUT_MILLIS)
    public void countsWaitOfPipelinedRequestAgainstItsTimeout(String timeout, int status)
            throws Exception {
        clock.stop();
        maxTimeoutSeconds = 60;
        // The second worker is needed because the first does not respond and is not chosen again.
        serve(Idempotency.NON_IDEMPOTENT, 1024, endpointList(workers.listen(), workers.listen()));
        Socket client = connect();
        send(client, jobRequestWithId(88));
        workers.nextFirstLine();
        long before = loop.bytesRead.get();
        String next = jobRequestWithId(99).replace("10.0", timeout);
        send(client, next);
        while (loop.bytesRead.get() < before + next.length()) {
            loop.awaitPendingTasks();
        }
        loop.advance(2);
        workers.responses.addAll(List.of("", SUCCESS));
        workers.sendUnsolicited(SUCCESS.replace("ID", "88"));
        assertEquals(statusOf(readMessage(client.getInputStream())), 200);
        assertEquals(statusOf(readMessage(client.getInputStream())), status);
        String attempt = workers.received.poll();
        assertTrue(status == 503 ? attempt == null : attempt.contains("X-Timeout: 2.9"), attempt);
    }
}
