package wheelroute.net;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.config.Config;
import wheelroute.config.ConfigException;
import wheelroute.decision.Idempotency;
import wheelroute.decision.PolicyHarness;
import wheelroute.net.lifecycle.Service;

/**
 * What staff do with a dispatcher in service: the calls at its door, and the figures they read
 * there.
 */
public class OperatingTest extends ServiceHarness {
    @BeforeMethod
    public void wantDoor() {
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
    public Object[][] calls() {
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

    @Test(dataProvider = "calls", timeOut = TIMEOUT_MILLIS)
    public void answersOneLine(String text, String answer) throws Exception {
        serve(Idempotency.IDEMPOTENT);
        assertEquals(adminCommand(text), answer);
    }

    /** A caller's end of sending ends its line; one byte at a time makes a line too. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void takesALineInPieces() throws Exception {
        serve(Idempotency.IDEMPOTENT);
        Socket socket = connectAdmin();
        socket.setTcpNoDelay(true);
        for (byte piece : "READY".getBytes(StandardCharsets.UTF_8)) {
            socket.getOutputStream().write(piece);
            assertEquals(adminCommand("READY\n"), "ok ready\n");
        }
        socket.shutdownOutput();
        assertEquals(new String(socket.getInputStream().readAllBytes(), UTF_8), "ok ready\n");
    }

    /**
     * Callers who say nothing, or half a call, stop neither the others nor any client, and are let
     * go.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void letsSilentCallersGo() throws Exception {
        serve(Idempotency.IDEMPOTENT, DONE);
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            silent.add(connectAdmin());
            silent.get(i).getOutputStream().write("REA".getBytes(StandardCharsets.UTF_8));
        }
        assertEquals(adminCommand("READY\n"), "ok ready\n");
        assertEquals(status(ask(connect(), post(10))), 200);
        for (Socket socket : silent) {
            assertEquals(socket.getInputStream().read(), -1);
        }
    }

    /** Each figure against what the peers saw of a mixed history. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void figuresAreWhatPeersSaw() throws Exception {
        // Served; turned away and served; broken off and served; still at work.
        workers.responses.addAll(List.of(DONE, REJECTED, DONE, BREAK, DONE, ACCEPTED));
        serve(Idempotency.IDEMPOTENT, 1024, known(workers.listen(), workers.listen()));
        assertEquals(
                adminStats(),
                Map.of(
                        "completed.job",
                        0,
                        "completed.patient",
                        0,
                        "rejected.job",
                        0,
                        "rejected.patient",
                        0,
                        "failed.job",
                        0,
                        "failed.patient",
                        0,
                        "upstream_requests",
                        0,
                        "pending",
                        0,
                        "members",
                        2,
                        "members_unavailable",
                        0));
        for (int i = 0; i < 3; i++) {
            String path = i == 1 ? "/patient/" : "/job/";
            assertEquals(status(ask(connect(), post(10).replace("/job/", path))), 200);
        }
        // No figure moves for what is no submission.
        assertEquals(status(ask(connect(), post(10).replace("/job/", "/other/"))), 404);
        assertEquals(status(ask(connect(), post(10).replace("X-Timeout", "X-Other"))), 400);
        Socket waiting = connect();
        waiting.getOutputStream().write(post(10).getBytes(StandardCharsets.UTF_8));
        while (workers.messages.get() < 6) {
            workers.next();
        }
        assertEquals(status(ask(connect(), post(10))), 409);
        Map<String, Integer> now = adminStats();
        assertEquals(
                List.of(
                        now.get("completed.job"),
                        now.get("completed.patient"),
                        now.get("pending"),
                        now.get("upstream_requests")),
                List.of(2, 1, 1, 6));
        waiting.close();
        while (adminStats().get("pending") > 0) {
            Thread.onSpinWait();
        }
        assertEquals(adminStats().get("rejected.job") + adminStats().get("failed.job"), 0);
        // What finds no worker is bounced without a launch.
        workers.responses.addAll(List.of(REJECTED, REJECTED));
        assertEquals(status(ask(connect(), post(10))), 503);
        now = adminStats();
        assertEquals(
                List.of(
                        now.get("rejected.job"),
                        now.get("upstream_requests"),
                        now.get("members_unavailable")),
                List.of(1, workers.messages.get(), 2));
        assertEquals(metric("launches_written_total"), workers.messages.get());
        assertEquals(metric("offering_answers_total{offering=\"job\",kind=\"bounced\"}"), 1);
        assertEquals(metric("answers_total{kind=\"fulfilled\"}"), 3);
    }

    /** One that comes too many is told to come back, and hears it counted. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void countsWhatItTurnsAwayUntaken() throws Exception {
        serve(Idempotency.IDEMPOTENT, 72, known(workers.listen()));
        for (int i = 0; i < 9; i++) {
            assertEquals(status(ask(connect(), HEALTH + "POST /jo")), 200);
        }
        assertEquals(status(ask(connect(), post(10))), 503);
        assertEquals(adminStats().get("rejected.job").intValue(), 1);
        assertEquals(adminCommand("READY\n"), "ok ready\n");
    }

    /** A start that cannot listen ends at once, and names the key at fault. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void namesATakenDoor() throws Exception {
        InetSocketAddress taken = discovery.listen();
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        Config config =
                new Config(
                        "n0",
                        any,
                        taken,
                        taken,
                        null,
                        1024,
                        Double.NaN,
                        null,
                        new PolicyHarness.SettingsFixture().settings(),
                        0.5,
                        10,
                        2,
                        false,
                        null);
        String message =
                expectThrows(ConfigException.class, () -> new Service(config).start()).getMessage();
        assertTrue(message.contains("'admin'"), message);
    }

    /** What a start had opened before it failed is free for the next one. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void aStartThatFailsLeavesNothingOpen() throws Exception {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket taken = new ServerSocket(0, 1, loopback)) {
            int adminPort;
            try (ServerSocket free = new ServerSocket(0, 1, loopback)) {
                adminPort = free.getLocalPort();
            }
            Config config =
                    new Config(
                            "n0",
                            (InetSocketAddress) taken.getLocalSocketAddress(),
                            discovery.listen(),
                            new InetSocketAddress(loopback, adminPort),
                            null,
                            64,
                            Double.NaN,
                            known().getBytes(UTF_8),
                            new PolicyHarness.SettingsFixture().settings(),
                            0.5,
                            10,
                            maxTimeoutSeconds,
                            listIsPushed,
                            null);
            Service failing = new Service(config);
            ConfigException fault = expectThrows(ConfigException.class, failing::start);
            assertTrue(fault.getMessage().contains("listen"), fault.getMessage());
            new ServerSocket(adminPort, 1, loopback).close();
        }
    }
}
