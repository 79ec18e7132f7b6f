package wheelroute.net;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static wheelroute.net.HttpMessages.ACCEPTED;
import static wheelroute.net.HttpMessages.CLOSE;
import static wheelroute.net.HttpMessages.HEALTH_CHECK;
import static wheelroute.net.HttpMessages.REJECTION;
import static wheelroute.net.HttpMessages.SUCCESS;
import static wheelroute.net.HttpMessages.endpointList;
import static wheelroute.net.HttpMessages.exchange;
import static wheelroute.net.HttpMessages.jobRequest;
import static wheelroute.net.HttpMessages.send;
import static wheelroute.net.HttpMessages.statusOf;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Idempotency;

/** Commands to the admin server and the statistics that it reports. */
public class AdminServiceTest extends ServiceHarness {
    private static final Map<String, Integer> INITIAL_STATS =
            Map.of(
                    "completed.job",
                    0,
                    "completed.batch",
                    0,
                    "rejected.job",
                    0,
                    "rejected.batch",
                    0,
                    "failed.job",
                    0,
                    "failed.batch",
                    0,
                    "upstream_requests",
                    0,
                    "pending",
                    0,
                    "members",
                    2,
                    "members_unavailable",
                    0);

    @BeforeMethod
    public void enableAdminServer() {
        hasAdminServer = true;
    }

    private Socket connectAdmin() throws IOException {
        return connectAdmin(service);
    }

    private String adminCommand(String text) throws IOException {
        return adminCommand(service, text);
    }

    private Map<String, Integer> adminStats() throws IOException {
        return adminStats(service);
    }

    @DataProvider
    public Object[][] commands() {
        return new Object[][] {
            {"READY\n", "ok ready\n"},
            {"READY\r\n", "ok ready\n"},
            {"READY\nREADY\n", "ok ready\n"},
            {"ready\n", "fail unknown call: READY, STATS or PEERS\n"},
            {"\n", "fail unknown call: READY, STATS or PEERS\n"},
            {"x".repeat(65), "fail a call is one line of at most 64 characters\n"},
            {"GET / HTTP/1.1\r\n\r\n", "fail unknown call: READY, STATS or PEERS\n"},
        };
    }

    @Test(dataProvider = "commands", timeOut = TIMEOUT_MILLIS)
    public void answersOneCommandPerConnection(String command, String response) throws Exception {
        serve(Idempotency.IDEMPOTENT);
        assertEquals(adminCommand(command), response);
    }

    /** The end of the input terminates a command just as a line feed does. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void readsCommandByteByByte() throws Exception {
        serve(Idempotency.IDEMPOTENT);
        Socket socket = connectAdmin();
        socket.setTcpNoDelay(true);
        for (byte octet : "READY".getBytes(StandardCharsets.UTF_8)) {
            socket.getOutputStream().write(octet);
            assertEquals(adminCommand("READY\n"), "ok ready\n");
        }
        socket.shutdownOutput();
        assertEquals(new String(socket.getInputStream().readAllBytes(), UTF_8), "ok ready\n");
    }

    /** Connections with an incomplete command delay neither other commands nor client requests. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void closesConnectionsWithoutCompleteCommand() throws Exception {
        serve(Idempotency.IDEMPOTENT, SUCCESS);
        List<Socket> incomplete = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            incomplete.add(connectAdmin());
            incomplete.get(i).getOutputStream().write("REA".getBytes(StandardCharsets.UTF_8));
        }
        assertEquals(adminCommand("READY\n"), "ok ready\n");
        assertEquals(statusOf(exchange(connect(), jobRequest(10))), 200);
        for (Socket socket : incomplete) {
            assertEquals(socket.getInputStream().read(), -1);
        }
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void reportsStatsThatMatchObservedTraffic() throws Exception {
        // One request succeeds, one is rejected and then succeeds, one loses its connection and
        // then succeeds, and one stays open.
        workers.responses.addAll(List.of(SUCCESS, REJECTION, SUCCESS, CLOSE, SUCCESS, ACCEPTED));
        serve(Idempotency.IDEMPOTENT, 1024, endpointList(workers.listen(), workers.listen()));
        assertEquals(adminStats(), INITIAL_STATS);
        for (int i = 0; i < 3; i++) {
            String path = i == 1 ? "/batch/" : "/job/";
            assertEquals(statusOf(exchange(connect(), jobRequest(10).replace("/job/", path))), 200);
        }
        sendMessagesThatAreNotAccepted();
        Socket pendingClient = connect();
        send(pendingClient, jobRequest(10));
        while (workers.messages.get() < 6) {
            workers.nextFirstLine();
        }
        assertEquals(statusOf(exchange(connect(), jobRequest(10))), 409);
        assertStats(
                Map.of(
                        "completed.job",
                        2,
                        "completed.batch",
                        1,
                        "pending",
                        1,
                        "upstream_requests",
                        6));
        pendingClient.close();
        awaitNoPendingRequests();
        assertEquals(adminStats().get("rejected.job") + adminStats().get("failed.job"), 0);
        // A request that finds no worker is rejected.
        workers.responses.addAll(List.of(REJECTION, REJECTION));
        assertEquals(statusOf(exchange(connect(), jobRequest(10))), 503);
        assertStats(
                Map.of(
                        "rejected.job",
                        1,
                        "upstream_requests",
                        workers.messages.get(),
                        "members_unavailable",
                        2));
        assertMetricsMatchStats();
    }

    private void awaitNoPendingRequests() throws IOException {
        while (adminStats().get("pending") > 0) {
            Thread.onSpinWait();
        }
    }

    private void sendMessagesThatAreNotAccepted() throws IOException {
        assertEquals(
                statusOf(exchange(connect(), jobRequest(10).replace("/job/", "/other/"))), 404);
        assertEquals(
                statusOf(exchange(connect(), jobRequest(10).replace("X-Timeout", "X-Other"))), 400);
    }

    private void assertStats(Map<String, Integer> expected) throws IOException {
        Map<String, Integer> actual = new HashMap<>(adminStats());
        actual.keySet().retainAll(expected.keySet());
        assertEquals(actual, expected);
    }

    private void assertMetricsMatchStats() throws IOException {
        assertEquals(metric("launches_written_total"), workers.messages.get());
        assertEquals(metric("offering_answers_total{offering=\"job\",kind=\"bounced\"}"), 1);
        assertEquals(metric("answers_total{kind=\"fulfilled\"}"), 3);
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void countsRejectionsOverConnectionLimit() throws Exception {
        serve(Idempotency.IDEMPOTENT, 72, endpointList(workers.listen()));
        for (int i = 0; i < 9; i++) {
            assertEquals(statusOf(exchange(connect(), HEALTH_CHECK + "POST /jo")), 200);
        }
        assertEquals(statusOf(exchange(connect(), jobRequest(10))), 503);
        assertEquals(adminStats().get("rejected.job").intValue(), 1);
        assertEquals(adminCommand("READY\n"), "ok ready\n");
    }
}
