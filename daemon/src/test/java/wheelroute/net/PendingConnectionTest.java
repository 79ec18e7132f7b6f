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

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Idempotency;

/** Attempts that wait for a new connection to their worker while something else changes. */
public class PendingConnectionTest extends ServiceHarness {
    @DataProvider
    public Object[][] listChanges() {
        String entry =
                "{\"version\":6,\"full\":false,\"servers\":[{\"id\":\"wPORT\",\"addr\":"
                        + "\"127.0.0.1:PORT\",\"zone\":\"here\",\"kind\":\"m\",\"cell\":1,\"state\":\"STATE\"}]}";
        String whole =
                "{\"version\":6,\"full\":true,\"servers\":[{\"id\":\"wOTHER\",\"addr\":"
                        + "\"127.0.0.1:OTHER\",\"zone\":\"here\",\"kind\":\"m\",\"cell\":1,\"state\":\"ready\"}]}";
        return new Object[][] {
            {Idempotency.IDEMPOTENT, entry.replace("STATE", "draining")},
            {Idempotency.NON_IDEMPOTENT, entry.replace("STATE", "draining")},
            {Idempotency.NON_IDEMPOTENT, entry.replace("STATE", "gone")},
            {Idempotency.NON_IDEMPOTENT, whole},
            {Idempotency.IDEMPOTENT_BY_KEY, entry.replace("STATE", "draining")},
        };
    }

    /** Rule 3: the attempt has not been sent yet, so it goes to another worker. */
    @Test(dataProvider = "listChanges", timeOut = TIMEOUT_MILLIS)
    public void movesUnsentAttemptWhenWorkerDrainsOrIsRemoved(Idempotency idempotency, String list)
            throws Exception {
        StubServer[] stubs = {new StubServer(open), new StubServer(open)};
        InetSocketAddress[] at = {stubs[0].listen(), stubs[1].listen()};
        stubs[0].responses.add(SUCCESS);
        stubs[1].responses.add(SUCCESS);
        serve(idempotency, 1024, endpointList(at));
        discovery.nextFirstLine();
        loop.holdConnects(Set.of(at));
        Socket client = connect();
        send(client, jobRequest(10));
        InetSocketAddress first = (InetSocketAddress) loop.connecting.take();
        int chosen = first.equals(at[0]) ? 0 : 1;
        discovery.sendUnsolicited(
                okResponse(
                        list.replace("PORT", "" + first.getPort())
                                .replace("OTHER", "" + at[1 - chosen].getPort())));
        discovery.nextFirstLine();
        loop.releaseAll();
        assertEquals(statusOf(readMessage(client.getInputStream())), 200);
        assertEquals(stubs[chosen].messages.get(), 0, "sent to a worker that drains");
        assertEquals(stubs[1 - chosen].messages.get(), 1);
        awaitMetric("connections_open{peer=\"worker\"}", 1);
    }

    /** The unsent attempt ends and is placed again. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void sendsAttemptOnceWhenWorkerRestarts() throws Exception {
        StubServer worker = new StubServer(open);
        InetSocketAddress at = worker.listen();
        worker.responses.add(SUCCESS);
        serve(Idempotency.NON_IDEMPOTENT, 1024, endpointList(at));
        discovery.nextFirstLine();
        loop.holdConnects(Set.of(at));
        Socket client = connect();
        send(client, jobRequest(10));
        loop.connecting.take();
        discovery.sendUnsolicited(
                okResponse(endpointList(at).replace("\"state\"", "\"started_ms\":1000,\"state\"")));
        discovery.nextFirstLine();
        loop.releaseAll();
        assertEquals(statusOf(readMessage(client.getInputStream())), 200);
        assertEquals(worker.messages.get(), 1);
        assertEquals(metric("launch_ends_total{end=\"refused\"}"), 0);
        assertEquals(metric("launch_ends_total{end=\"ended_unsent\"}"), 1);
        awaitMetric("connections_open{peer=\"worker\"}", 1);
    }

    /**
     * The end of the client's connection is still unread when the connection to the worker is
     * established.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void sendsNothingForClientThatDisconnectedMeanwhile() throws Exception {
        InetSocketAddress at = workers.listen();
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(at));
        loop.holdConnects(Set.of(at));
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
}
