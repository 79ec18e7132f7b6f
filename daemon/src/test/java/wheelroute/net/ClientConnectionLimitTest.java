package wheelroute.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static wheelroute.net.HttpMessages.HEALTH_CHECK;
import static wheelroute.net.HttpMessages.SUCCESS;
import static wheelroute.net.HttpMessages.endpointList;
import static wheelroute.net.HttpMessages.exchange;
import static wheelroute.net.HttpMessages.jobRequest;
import static wheelroute.net.HttpMessages.readMessage;
import static wheelroute.net.HttpMessages.statusOf;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import wheelroute.decision.Idempotency;

/** Which client connections are evicted, rejected or kept when the descriptor limit is reached. */
public class ClientConnectionLimitTest extends ServiceHarness {
    @Test(timeOut = TIMEOUT_MILLIS)
    public void evictsIdleConnectionsAndRejectsRequestsOverLimit() throws Exception {
        serve(Idempotency.IDEMPOTENT, 58, endpointList(workers.listen()));
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(connect());
            assertEquals(statusOf(exchange(clients.get(i), HEALTH_CHECK)), 200);
        }
        assertEquals(clients.get(0).getInputStream().read(), -1);
        for (int i = 11; i < 20; i++) {
            String message = jobRequest(10).replace("77", "" + (10 + i));
            clients.get(i).getOutputStream().write(message.getBytes(StandardCharsets.UTF_8));
            // At most seven worker connections are allowed, so the last two requests are rejected.
            assertTrue(i >= 18 || workers.nextFirstLine().startsWith("POST"));
        }
        assertEquals(statusOf(readMessage(clients.get(19).getInputStream())), 503);
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void evictsSlowestSenderWith503() throws Exception {
        workers.responses.add(SUCCESS);
        serve(Idempotency.IDEMPOTENT, 58, endpointList(workers.listen()));
        List<Socket> slow = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            slow.add(connect());
            assertEquals(statusOf(exchange(slow.get(i), HEALTH_CHECK + "POST /jo")), 200);
        }
        int status = 503;
        while (status == 503) {
            try (Socket next = connect()) {
                status = statusOf(exchange(next, jobRequest(10)));
            }
        }
        assertEquals(status, 200);
        String response = readMessage(slow.get(0).getInputStream());
        assertEquals(statusOf(response), 503);
        assertTrue(response.contains("Connection: close"), response);
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void servesNewClientWhenSlowSendersFillTheLimit() throws Exception {
        workers.responses.add(SUCCESS);
        serve(Idempotency.IDEMPOTENT, 58, endpointList(workers.listen()));
        for (int i = 0; i < 9; i++) {
            assertEquals(statusOf(exchange(connect(), HEALTH_CHECK + "POST /jo")), 200);
        }
        int status = 503;
        while (status == 503) {
            try (Socket next = connect()) {
                status = statusOf(exchange(next, jobRequest(10)));
            }
        }
        assertEquals(status, 200);
    }

    /** An incomplete message is answered 408; a connection that was used before stays open. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void closesSilentAndIncompleteConnectionsWithinThreeSeconds() throws Exception {
        serve(Idempotency.IDEMPOTENT, SUCCESS);
        Socket kept = connect();
        assertEquals(statusOf(exchange(kept, HEALTH_CHECK)), 200);
        long before = System.nanoTime();
        Socket idle = connect();
        Socket incomplete = connect();
        incomplete
                .getOutputStream()
                .write(jobRequest(10).replace("hi", "h").getBytes(StandardCharsets.UTF_8));
        String response = readMessage(incomplete.getInputStream());
        assertEquals(statusOf(response), 408);
        assertTrue(response.contains("Connection: close"), response);
        assertEquals(idle.getInputStream().read(), -1);
        assertTrue((System.nanoTime() - before) / 1e9 < 3);
        // Later messages have the same time limit, counted from their first byte.
        assertEquals(statusOf(exchange(kept, HEALTH_CHECK + "POST /jo")), 200);
        assertEquals(statusOf(readMessage(kept.getInputStream())), 408);
    }

    /**
     * A client that has only sent health checks is evicted first, however long ago the last request
     * of the other client was. No connection with unread bytes is closed.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void evictsStatusClientsBeforeRequestClients() throws Exception {
        workers.responses.addAll(List.of(SUCCESS, SUCCESS, SUCCESS));
        serve(Idempotency.IDEMPOTENT, 58, endpointList(workers.listen()));
        Socket requestClient = connect();
        assertEquals(statusOf(exchange(requestClient, jobRequest(10))), 200);
        Socket healthCheckClient = connect();
        assertEquals(statusOf(exchange(healthCheckClient, HEALTH_CHECK)), 200);
        List<Socket> newClients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            newClients.add(connect());
        }
        assertEquals(healthCheckClient.getInputStream().read(), -1);
        assertEquals(statusOf(exchange(requestClient, jobRequest(10))), 200);
        assertEquals(statusOf(exchange(newClients.get(0), jobRequest(10))), 200);
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void keepsKnownClientDuringConnectionFlood() throws Exception {
        workers.responses.addAll(List.of(SUCCESS, SUCCESS));
        serve(Idempotency.IDEMPOTENT, 58, endpointList(workers.listen()));
        Socket kept = connect();
        assertEquals(statusOf(exchange(kept, jobRequest(10))), 200);
        for (int i = 0; i < 40; i++) {
            connect();
        }
        assertEquals(statusOf(exchange(kept, jobRequest(10))), 200);
    }
}
