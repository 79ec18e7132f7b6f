package wheelroute.net;

import static org.testng.Assert.assertEquals;
import static wheelroute.net.HttpMessages.HEALTH_CHECK;
import static wheelroute.net.HttpMessages.SUCCESS;
import static wheelroute.net.HttpMessages.endpointList;
import static wheelroute.net.HttpMessages.jobRequest;
import static wheelroute.net.HttpMessages.okResponse;
import static wheelroute.net.HttpMessages.readMessage;
import static wheelroute.net.HttpMessages.send;
import static wheelroute.net.HttpMessages.statusOf;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Collections;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.BackgroundTask;
import wheelroute.decision.Idempotency;

/**
 * Attempts that wait for a new connection to their worker while the endpoint list changes or the
 * client disconnects.
 */
public class PendingConnectionTest extends ServiceHarness {
    @DataProvider
    public Object[][] listChanges() {
        String entry =
                "{\"version\":6,\"full\":false,\"servers\":[{\"id\":\"wPORT\",\"addr\":"
                        + "\"127.0.0.1:PORT\",\"zone\":\"here\",\"kind\":\"m\",\"cell\":1,\"state\":\"STATE\"}]}";
        String completeList =
                "{\"version\":6,\"full\":true,\"servers\":[{\"id\":\"wOTHER\",\"addr\":"
                        + "\"127.0.0.1:OTHER\",\"zone\":\"here\",\"kind\":\"m\",\"cell\":1,\"state\":\"ready\"}]}";
        return new Object[][] {
            {Idempotency.IDEMPOTENT, entry.replace("STATE", "draining")},
            {Idempotency.NON_IDEMPOTENT, entry.replace("STATE", "draining")},
            {Idempotency.NON_IDEMPOTENT, entry.replace("STATE", "gone")},
            {Idempotency.NON_IDEMPOTENT, completeList},
            {Idempotency.IDEMPOTENT_BY_KEY, entry.replace("STATE", "draining")},
        };
    }

    /** By rule 3, an attempt that has not been sent yet goes to another worker. */
    @Test(dataProvider = "listChanges", timeOut = TIMEOUT_MILLIS)
    public void movesUnsentAttemptWhenWorkerDrainsOrIsRemoved(Idempotency idempotency, String list)
            throws Exception {
        StubServer[] stubs = {new StubServer(open), new StubServer(open)};
        InetSocketAddress[] addresses = {stubs[0].listen(), stubs[1].listen()};
        stubs[0].responses.add(SUCCESS);
        stubs[1].responses.add(SUCCESS);
        serve(idempotency, 1024, endpointList(addresses));
        discovery.nextFirstLine();
        loop.holdConnects(Set.of(addresses));
        Socket client = connect();
        send(client, jobRequest(10));
        InetSocketAddress first = (InetSocketAddress) loop.connecting.take();
        int chosen = first.equals(addresses[0]) ? 0 : 1;
        discovery.sendUnsolicited(
                okResponse(
                        list.replace("PORT", "" + first.getPort())
                                .replace("OTHER", "" + addresses[1 - chosen].getPort())));
        discovery.nextFirstLine();
        loop.releaseAll();
        assertEquals(statusOf(readMessage(client.getInputStream())), 200);
        assertEquals(
                stubs[chosen].messages.get(), 0, "sent to a worker that drains or was removed");
        assertEquals(stubs[1 - chosen].messages.get(), 1);
        awaitMetric("connections_open{peer=\"worker\"}", 1);
    }

    /** The unsent attempt ends, and another attempt is started for the request. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void sendsAttemptOnceWhenWorkerRestarts() throws Exception {
        StubServer worker = new StubServer(open);
        InetSocketAddress address = worker.listen();
        worker.responses.add(SUCCESS);
        serve(Idempotency.NON_IDEMPOTENT, 1024, endpointList(address));
        discovery.nextFirstLine();
        loop.holdConnects(Set.of(address));
        Socket client = connect();
        send(client, jobRequest(10));
        loop.connecting.take();
        discovery.sendUnsolicited(
                okResponse(
                        endpointList(address)
                                .replace("\"state\"", "\"started_ms\":1000,\"state\"")));
        discovery.nextFirstLine();
        loop.releaseAll();
        assertEquals(statusOf(readMessage(client.getInputStream())), 200);
        assertEquals(worker.messages.get(), 1);
        assertEquals(metric("launch_ends_total{end=\"refused\"}"), 0);
        assertEquals(metric("launch_ends_total{end=\"ended_unsent\"}"), 1);
        awaitMetric("connections_open{peer=\"worker\"}", 1);
    }

    /**
     * The dispatcher has not yet read the end of the client's connection when its connection to the
     * worker is established.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void sendsNothingForClientThatDisconnectedMeanwhile() throws Exception {
        InetSocketAddress address = workers.listen();
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(address));
        loop.holdConnects(Set.of(address));
        Socket client = connect();
        holdInputAfter(client, HEALTH_CHECK);
        send(client, jobRequest(10));
        loop.connecting.take();
        client.close();
        loop.releaseAll();
        awaitMetric("submissions_open", 0);
        assertEquals(metric("launches_written_total"), 0);
        assertEquals(metric("clients_gone_total"), 1);
    }

    /** Guards against a retry that is decided within the window of its key and sent after it. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void sendsNoRetryOnConnectionThatOpensAfterWindow() throws Exception {
        maxTimeoutSeconds = 60;
        BlockingQueue<Socket> attempts = new LinkedBlockingQueue<>();
        InetSocketAddress[] addresses = {listen(attempts), listen(attempts)};
        serve(Idempotency.IDEMPOTENT_BY_KEY, 1024, endpointList(addresses));
        Socket client = connect();
        send(client, jobRequest(60));
        Socket first = attempts.take();
        readMessage(first.getInputStream());
        loop.holdConnects(Set.of(addresses));
        clock.stop();
        // The window is 20 s, and a retry may be decided on until 0.5 s before its end.
        loop.advance(19.4);
        first.close();
        loop.connecting.take();
        loop.advance(0.45);
        loop.releaseAll();
        Socket second = attempts.take();
        assertEquals(second.getInputStream().read(), -1, "retried after the window");
        loop.advance(45);
        assertEquals(statusOf(readMessage(client.getInputStream())), 502);
    }

    private InetSocketAddress listen(BlockingQueue<Socket> accepted) throws IOException {
        ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        open.add(server);
        BackgroundTask.acceptAll(server, Collections.synchronizedCollection(open), accepted::add);
        return (InetSocketAddress) server.getLocalSocketAddress();
    }
}
