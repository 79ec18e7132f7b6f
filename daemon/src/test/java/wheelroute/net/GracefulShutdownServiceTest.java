package wheelroute.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;
import static wheelroute.net.HttpMessages.ACCEPTED;
import static wheelroute.net.HttpMessages.HEALTH_CHECK;
import static wheelroute.net.HttpMessages.RESPONSE_HEAD;
import static wheelroute.net.HttpMessages.STARTED;
import static wheelroute.net.HttpMessages.SUCCESS;
import static wheelroute.net.HttpMessages.endpointList;
import static wheelroute.net.HttpMessages.exchange;
import static wheelroute.net.HttpMessages.jobRequest;
import static wheelroute.net.HttpMessages.readMessage;
import static wheelroute.net.HttpMessages.send;
import static wheelroute.net.HttpMessages.statusOf;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.Test;
import wheelroute.decision.Idempotency;
import wheelroute.net.metrics.Counters;

/** What clients observe while a process shuts down. */
public class GracefulShutdownServiceTest extends ServiceHarness {
    /**
     * Longer than the quiescence time of a connection, shorter than any deadline in these tests.
     */
    private static final double LONGER_THAN_QUIESCENCE_SECONDS = 0.2;

    /**
     * New requests that cannot finish are rejected with a Retry-After header for the expected
     * restart.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void servesKeptConnectionsWhileDrainingAsOnlyDispatcher() throws Exception {
        maxTimeoutSeconds = 10;
        // Longer than the expected restart, so that the two limits of the delay differ.
        maxRetryAfterSeconds = 2.5;
        workers.responses.addAll(List.of(SUCCESS, SUCCESS, ACCEPTED, ACCEPTED, ACCEPTED));
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(workers.listen()));
        Socket kept = connect();
        assertEquals(statusOf(exchange(kept, jobRequest(10))), 200);
        Socket other = connect();
        assertEquals(statusOf(exchange(other, jobRequest(10).replace("/job/", "/other/"))), 404);
        CompletableFuture<Void> ended = drain(service);
        awaitDraining();
        awaitNotListening();
        String served = exchange(kept, jobRequest(10));
        assertTrue(
                served.startsWith("HTTP/1.1 200") && !served.contains("Connection: close"), served);
        workers.received.clear();
        other.getOutputStream().write(jobRequest(10).getBytes(StandardCharsets.UTF_8));
        workers.nextFirstLine();
        String late =
                exchange(
                        kept,
                        jobRequest(10)
                                .replace("77", "78")
                                .replace("X-Cost: 20000", "X-Cost: 19000000"));
        assertTrue(late.startsWith("HTTP/1.1 503") && late.contains("Retry-After: 2.5\r\n"), late);
        String last = readMessage(other.getInputStream());
        assertTrue(
                last.startsWith("HTTP/1.1 503")
                        && last.matches("(?s).*Retry-After: (1\\.\\d+|2\\.0)\r\n.*")
                        && last.contains("Connection: close"),
                last);
        ended.get();
        service = null;
    }

    private void awaitNotListening() {
        boolean listening = true;
        while (listening) {
            try (Socket next = connect()) {
                exchange(next, HEALTH_CHECK);
            } catch (IOException e) {
                listening = false;
            }
        }
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void servesSlowWriterBeforeExit() throws Exception {
        workers.responses.add(SUCCESS);
        serve(Idempotency.NON_IDEMPOTENT, 1024, endpointList(workers.listen()), 2);
        Socket slow = connect();
        byte[] message = jobRequest(10).getBytes(StandardCharsets.UTF_8);
        int half = message.length / 2;
        slow.getOutputStream().write(message, 0, half);
        CompletableFuture<Void> ended = drain(service);
        awaitDraining();
        // Sending single bytes takes longer than the listening socket stays open.
        for (int i = half; i < message.length; i++) {
            slow.getOutputStream().write(message, i, 1);
            LockSupport.parkNanos(1_500_000_000L / (message.length - half));
        }
        assertEquals(statusOf(readMessage(slow.getInputStream())), 200);
        ended.get();
        service = null;
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void answersAcceptedRequestsBeforeExit() throws Exception {
        workers.responses.addAll(List.of(RESPONSE_HEAD + STARTED + STARTED));
        serve(Idempotency.NON_IDEMPOTENT, 1024, endpointList(workers.listen()), 2);
        Socket waiting = connect();
        waiting.getOutputStream().write(jobRequest(10).getBytes(StandardCharsets.UTF_8));
        workers.nextFirstLine();
        CompletableFuture<Void> ended = drain(service);
        String health = awaitDraining();
        assertTrue(health.contains("Connection: close"), health);
        String response = readMessage(waiting.getInputStream());
        assertEquals(statusOf(response), 502, response);
        assertTrue(response.contains("Connection: close"), response);
        ended.get();
        expectThrows(IOException.class, this::connect);
        service = null;
    }

    /** The request is the first input on its connection. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void answersRequestThatArrivesJustBeforeExit() throws Exception {
        clock.stop();
        workers.responses.addAll(List.of(SUCCESS, SUCCESS));
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(workers.listen()), 2);
        Socket idle = new Socket();
        open.add(idle);
        idle.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        loop.holdReads(idle.getLocalPort());
        idle.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), TIMEOUT_MILLIS);
        idle.setSoTimeout(TIMEOUT_MILLIS);
        // This connection is accepted after the idle one, which is therefore accepted as well.
        assertEquals(statusOf(exchange(connect(), HEALTH_CHECK)), 200);
        loop.advance(LONGER_THAN_QUIESCENCE_SECONDS);
        CompletableFuture<Void> ended = drain(service);
        awaitDraining();
        send(idle, jobRequest(10));
        // The clock advances until the process has started an attempt or has ended.
        while (service.counters().value(Counters.Counter.ATTEMPTS) == 0 && !ended.isDone()) {
            loop.advance(0.02);
        }
        assertEquals(statusOf(readMessage(idle.getInputStream())), 200);
        clock.resume();
        ended.get();
        service = null;
    }
}
