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
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.BackgroundTask;
import wheelroute.decision.Idempotency;

/** Requests that a client sends before it has received the response to its previous one. */
public class PipeliningTest extends ServiceHarness {
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
        // More bytes have arrived than the budget allows, so they are read until it is used up.
        for (long before = -1; before != loop.bytesRead.get(); ) {
            before = loop.bytesRead.get();
            for (int i = 0; i < 10; i++) {
                loop.awaitPendingTasks();
            }
        }
        assertTrue(loop.bytesRead.get() < clients * 200_000L, "all pipelined input was read");
        assertEquals(statusOf(exchange(connect(), HEALTH_CHECK)), 200);
        assertEquals(metric("submissions_open"), clients);
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
