package wheelroute.net;

import static org.testng.Assert.assertEquals;
import static wheelroute.net.HttpMessages.SUCCESS;
import static wheelroute.net.HttpMessages.endpointList;
import static wheelroute.net.HttpMessages.exchange;
import static wheelroute.net.HttpMessages.jobRequest;
import static wheelroute.net.HttpMessages.readMessage;
import static wheelroute.net.HttpMessages.statusOf;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Idempotency;

/** Requests are answered even if system calls fail temporarily. */
public class SystemCallFaultsTest extends ServiceHarness {
    private static final Optional<IOException> SUCCESSFUL_CALL = Optional.empty();

    private static Optional<IOException> failure(String text) {
        return Optional.of(new IOException(text));
    }

    @DataProvider
    public Object[][] failedAccepts() {
        return new Object[][] {
            {List.of(SUCCESSFUL_CALL, failure("Too many open files in system"))},
            {List.of(failure("No buffer space available"), SUCCESSFUL_CALL)},
            {
                List.of(
                        SUCCESSFUL_CALL,
                        SUCCESSFUL_CALL,
                        failure("Software caused connection abort"),
                        failure("No buffer space available"),
                        SUCCESSFUL_CALL,
                        failure("Too many open files in system"))
            },
        };
    }

    /** Connections that were accepted in the same pass before the failing call must stay open. */
    @Test(dataProvider = "failedAccepts", timeOut = TIMEOUT_MILLIS)
    public void failedAcceptClosesNoOtherConnection(List<Optional<IOException>> results)
            throws Exception {
        workers.defaultResponse = () -> SUCCESS;
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(workers.listen()));
        CountDownLatch connected = new CountDownLatch(1);
        loop.post(() -> awaitQuietly(connected));
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            Socket client = connect();
            client.getOutputStream()
                    .write(jobRequest(5).replace("77", "a" + i).getBytes(StandardCharsets.UTF_8));
            clients.add(client);
        }
        loop.planAccepts(results);
        connected.countDown();
        for (Socket client : clients) {
            assertEquals(statusOf(readMessage(client.getInputStream())), 200);
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @DataProvider
    public Object[][] failedConnects() {
        return new Object[][] {
            {new BindException("Cannot assign requested address")},
            {new SocketException("Network is unreachable")},
            {new SocketException("No buffer space available")},
        };
    }

    /**
     * Nothing has been sent, so even a non-idempotent request is attempted again at the same
     * worker.
     */
    @Test(dataProvider = "failedConnects", timeOut = TIMEOUT_MILLIS)
    public void localConnectFailureDoesNotCountAgainstWorker(IOException failure) throws Exception {
        workers.defaultResponse = () -> SUCCESS;
        InetSocketAddress worker = workers.listen();
        serve(Idempotency.NON_IDEMPOTENT, 1024, endpointList(worker));
        // The endpoint watch is connected, so it uses up none of the planned failures.
        discovery.nextFirstLine();
        loop.planConnects(List.of(Optional.of(failure), Optional.of(failure)));
        assertEquals(statusOf(exchange(connect(), jobRequest(5))), 200);
        assertEquals(metric("launch_ends_total{end=\"no_room\"}"), 2);
        assertEquals(metric("workers_avoided"), 0);
    }
}
