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

/** Clients that disconnect before their response. */
public class ClientDisconnectTest extends ServiceHarness {
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

    private enum Leaving {
        CLOSE,
        HALF_CLOSE,
        RESET
    }

    @DataProvider
    public Object[][] disconnects() {
        return new Object[][] {
            {0, Leaving.CLOSE}, {0, Leaving.HALF_CLOSE}, {0, Leaving.RESET},
            {1, Leaving.CLOSE}, {20_000, Leaving.CLOSE}, {200_000, Leaving.CLOSE},
            {20_000, Leaving.HALF_CLOSE}, {20_000, Leaving.RESET},
        };
    }

    @Test(dataProvider = "disconnects", timeOut = TIMEOUT_MILLIS)
    public void cancelsAttemptWhenClientDisconnectsBehindPipelinedInput(int more, Leaving how)
            throws Exception {
        maxTimeoutSeconds = 60;
        serve(Idempotency.IDEMPOTENT);
        Socket client = connect();
        send(client, jobRequest(60.0) + "x".repeat(more));
        workers.nextFirstLine();
        switch (how) {
            case CLOSE -> client.close();
            case HALF_CLOSE -> client.shutdownOutput();
            default -> {
                client.setSoLinger(true, 0);
                client.close();
            }
        }
        assertNotEquals(
                workers.closed.poll(TIMEOUT_MILLIS / 2, TimeUnit.MILLISECONDS), null, "still out");
        assertEquals(metric("clients_gone_total"), 1);
        assertEquals(metric("launch_ends_total{end=\"called_off\"}"), 1);
        assertEquals(metric("launches_total"), 1);
        assertEquals(metric("submissions_open"), 0);
    }

    /** The end of the client's connection is still unread when the first attempt fails. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void doesNotRetryForDisconnectedClient() throws Exception {
        ServerSocket worker = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        open.add(worker);
        InetSocketAddress address = (InetSocketAddress) worker.getLocalSocketAddress();
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(address, workers.listen()));
        worker.setSoTimeout(50);
        // Which of the two workers is chosen is random; the other one never responds.
        Socket client = null;
        Socket launched = null;
        int asked = 0;
        while (launched == null) {
            client = connect();
            holdInputAfter(client, HEALTH_CHECK);
            send(client, jobRequestWithId(100 + asked++));
            awaitMetric("launches_total", asked);
            launched = acceptIfSoon(worker);
        }
        open.add(launched);
        readMessage(launched.getInputStream());
        client.close();
        launched.close();
        awaitMetric("launch_ends_total{end=\"broke\"}", 1);
        awaitMetric("submissions_open", asked - 1);
        assertEquals(metric("launches_total"), asked, "retried for a disconnected client");
        assertEquals(metric("clients_gone_total"), 1);
    }

    private static Socket acceptIfSoon(ServerSocket server) throws IOException {
        try {
            return server.accept();
        } catch (SocketTimeoutException e) {
            return null;
        }
    }
}
