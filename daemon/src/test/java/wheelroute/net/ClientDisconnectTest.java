package wheelroute.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static wheelroute.net.HttpMessages.CLOSE;
import static wheelroute.net.HttpMessages.HEALTH_CHECK;
import static wheelroute.net.HttpMessages.endpointList;
import static wheelroute.net.HttpMessages.jobRequest;
import static wheelroute.net.HttpMessages.jobRequestWithId;
import static wheelroute.net.HttpMessages.readMessage;
import static wheelroute.net.HttpMessages.send;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Idempotency;
import wheelroute.net.memory.HeapBudget;

/** Clients that disconnect before they receive their response. */
public class ClientDisconnectTest extends ServiceHarness {
    private static final int OTHER_CLIENTS = 4;

    /** With this heap, each of the other clients sends more than all together may use. */
    private static final long SMALL_HEAP_BYTES = 1_000_000;

    @Test(timeOut = TIMEOUT_MILLIS)
    public void cancelsAttemptWhenClientDisconnects() throws Exception {
        serve(Idempotency.IDEMPOTENT);
        Socket client = connect();
        client.getOutputStream().write(jobRequest(10).getBytes(StandardCharsets.UTF_8));
        workers.nextFirstLine();
        client.close();
        assertTrue(workers.closed.take() > 0);
        assertEquals(metric("clients_gone_total"), 1);
        assertEquals(metric("submissions_open"), 0);
    }

    private enum Disconnect {
        CLOSE,
        HALF_CLOSE,
        RESET
    }

    @DataProvider
    public Object[][] disconnects() {
        return new Object[][] {
            {0, Disconnect.CLOSE},
            {0, Disconnect.HALF_CLOSE},
            {0, Disconnect.RESET},
            {1, Disconnect.CLOSE},
            {20_000, Disconnect.CLOSE},
            {200_000, Disconnect.CLOSE},
            {20_000, Disconnect.HALF_CLOSE},
            {20_000, Disconnect.RESET},
            {500_000, Disconnect.CLOSE},
            {500_000, Disconnect.HALF_CLOSE},
            {500_000, Disconnect.RESET},
        };
    }

    private static void disconnect(Socket client, Disconnect disconnect) throws IOException {
        switch (disconnect) {
            case CLOSE -> client.close();
            case HALF_CLOSE -> client.shutdownOutput();
            default -> {
                client.setSoLinger(true, 0);
                client.close();
            }
        }
    }

    @Test(dataProvider = "disconnects", timeOut = TIMEOUT_MILLIS)
    public void cancelsAttemptWhenClientDisconnectsBehindPipelinedInput(
            int pipelinedBytes, Disconnect disconnect) throws Exception {
        maxTimeoutSeconds = 60;
        serve(Idempotency.IDEMPOTENT);
        Socket client = connect();
        send(client, jobRequest(60.0) + "x".repeat(pipelinedBytes));
        workers.nextFirstLine();
        disconnect(client, disconnect);
        assertNotEquals(
                workers.closed.poll(TIMEOUT_MILLIS / 2, TimeUnit.MILLISECONDS),
                null,
                "attempt not cancelled");
        assertEquals(metric("clients_gone_total"), 1);
        assertEquals(metric("launch_ends_total{end=\"called_off\"}"), 1);
        assertEquals(metric("launches_total"), 1);
        assertEquals(metric("submissions_open"), 0);
    }

    /** Guards against clients whose pipelined input hides that other clients disconnect. */
    @Test(dataProvider = "disconnects", timeOut = TIMEOUT_MILLIS)
    public void cancelsAttemptWhenClientDisconnectsWhileOthersUseUpTheMemory(
            int pipelinedBytes, Disconnect disconnect) throws Exception {
        clock.stop();
        heapBudget = new HeapBudget(SMALL_HEAP_BYTES, MAX_CLIENT_CONNECTIONS);
        maxTimeoutSeconds = 60;
        InetSocketAddress[] addresses = new InetSocketAddress[OTHER_CLIENTS + 1];
        for (int i = 0; i < addresses.length; i++) {
            addresses[i] = workers.listen();
        }
        serve(Idempotency.NON_IDEMPOTENT, 1024, endpointList(addresses));
        for (int i = 0; i < OTHER_CLIENTS; i++) {
            send(
                    connect(),
                    jobRequestWithId(100 + i).replace("10.0", "60.0") + "x".repeat(500_000));
            workers.nextFirstLine();
        }
        Socket client = connect();
        send(client, jobRequest(60.0) + "x".repeat(pipelinedBytes));
        workers.nextFirstLine();
        disconnect(client, disconnect);
        while (metric("clients_gone_total") < 1) {
            loop.advance(0.01);
        }
        assertEquals(metric("submissions_pending"), OTHER_CLIENTS);
    }

    /**
     * The dispatcher has not yet read the end of the client's connection when the first attempt
     * fails.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void doesNotRetryForDisconnectedClient() throws Exception {
        ServerSocket worker = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        open.add(worker);
        InetSocketAddress address = (InetSocketAddress) worker.getLocalSocketAddress();
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(address, workers.listen()));
        worker.setSoTimeout(50);
        // The choice between the two workers is random, so requests are sent until this worker is
        // chosen. The other one never responds.
        Socket client = null;
        Socket attemptConnection = null;
        int requestCount = 0;
        while (attemptConnection == null) {
            client = connect();
            holdInputAfter(client, HEALTH_CHECK);
            send(client, jobRequestWithId(100 + requestCount++));
            awaitMetric("launches_total", requestCount);
            attemptConnection = acceptWithinTimeout(worker);
        }
        open.add(attemptConnection);
        readMessage(attemptConnection.getInputStream());
        client.close();
        attemptConnection.close();
        awaitMetric("launch_ends_total{end=\"broke\"}", 1);
        awaitMetric("submissions_open", requestCount - 1);
        assertEquals(metric("launches_total"), requestCount, "retried for a disconnected client");
        assertEquals(metric("clients_gone_total"), 1);
    }

    private static Socket acceptWithinTimeout(ServerSocket server) throws IOException {
        try {
            return server.accept();
        } catch (SocketTimeoutException e) {
            return null;
        }
    }
}
