package wheelroute.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import wheelroute.decision.Idempotency;

/**
 * Submissions of one key on sockets: who waits, who goes on, and what those are told who wait in
 * vain.
 */
public class OrderedServiceTest extends ServiceHarness {
    @BeforeMethod
    public void keepOrder() {
        inTurn = true;
        maxTimeoutSeconds = 10;
    }

    private static String job(int id, String key, double timeout) {
        return post(timeout)
                .replace("77", Integer.toString(id))
                .replace("X-Cost", "X-Route-Key: " + key + "\r\nX-Cost");
    }

    private Socket send(String message) throws Exception {
        Socket socket = connect();
        socket.getOutputStream().write(message.getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    private String nextId() throws InterruptedException {
        return workers.received
                .poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .replaceAll("(?s).*X-Request-ID: (\\w+).*", "$1");
    }

    /**
     * The first one's client leaves; its launch is called off, the key rests, and the second one
     * goes.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void theNextGoesWhenTheFirstIsOver() throws Exception {
        workers.responses.addAll(List.of(ACCEPTED, DONE, DONE));
        serve(Idempotency.NON_IDEMPOTENT, 1024, known(workers.listen(), workers.listen()));
        Socket first = send(job(11, "a", 9));
        assertEquals(nextId(), "11");
        Socket second = send(job(12, "a", 9));
        assertEquals(status(ask(connect(), job(13, "b", 9))), 200);
        assertEquals(nextId(), "13", "another key does not wait");
        long left = System.nanoTime();
        first.close();
        assertEquals(nextId(), "12");
        assertTrue(System.nanoTime() - left >= 200_000_000L, "the key did not rest");
        assertEquals(status(read(second.getInputStream())), 200);
    }

    /**
     * The first one never ends; who waits hears so before its own limit, and its id is free at
     * once.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void whoWaitsInVainIsBouncedInTime() throws Exception {
        workers.responses.addAll(List.of(ACCEPTED));
        serve(Idempotency.NON_IDEMPOTENT, 1024, known(workers.listen(), workers.listen()));
        send(job(11, "a", 9));
        assertEquals(nextId(), "11");
        long asked = System.nanoTime();
        Socket client = connect();
        assertEquals(status(ask(client, job(12, "a", 0.8))), 503);
        assertTrue(System.nanoTime() - asked < 800_000_000L, "too late for its client");
        assertEquals(status(ask(client, job(12, "a", 0.8))), 503, "its id is not open any more");
        assertTrue(workers.received.isEmpty());
    }

    /** Told to end, it sends nobody away without an answer who waits in a line. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void whoWaitsIsAnsweredAtTheEnd() throws Exception {
        maxTimeoutSeconds = 2;
        workers.responses.addAll(List.of(ACCEPTED));
        serve(Idempotency.NON_IDEMPOTENT, 1024, known(workers.listen(), workers.listen()));
        Socket first = send(job(11, "a", 9));
        assertEquals(nextId(), "11");
        Socket second = send(job(12, "a", 9));
        Socket third = send(job(13, "a", 9));
        drain(service);
        assertEquals(status(read(first.getInputStream())), 502, "it may have run");
        assertEquals(status(read(second.getInputStream())), 503);
        assertEquals(status(read(third.getInputStream())), 503);
    }
}
