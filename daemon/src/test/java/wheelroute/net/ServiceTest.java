package wheelroute.net;

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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.config.Config;
import wheelroute.config.ConfigException;
import wheelroute.decision.Idempotency;
import wheelroute.decision.PolicyHarness;
import wheelroute.net.lifecycle.Service;

/** The whole dispatcher on sockets, event by event. */
public class ServiceTest extends ServiceHarness {
    @DataProvider
    public Object[][] lives() {
        String otherId = HEAD + line("done").replace("ID", "78") + "0\r\n\r\n";
        String plain = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
        return new Object[][] {
            // what a repeat would do, the answers to its launches, the client's status, launches in
            // all
            {Idempotency.NON_IDEMPOTENT, List.of(DONE), 200, 1},
            {Idempotency.NON_IDEMPOTENT, List.of(REJECTED, DONE), 200, 2},
            {
                Idempotency.NON_IDEMPOTENT,
                List.of(HEAD + line("returned") + "0\r\n\r\n", DONE),
                200,
                2
            },
            {Idempotency.NON_IDEMPOTENT, List.of(BREAK, DONE), 502, 1},
            {
                Idempotency.IDEMPOTENT,
                List.of("HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n", DONE),
                502,
                1
            },
            {Idempotency.NON_IDEMPOTENT, List.of(BREAK_LATE, DONE), 502, 1},
            {Idempotency.NON_IDEMPOTENT, List.of(plain, DONE), 502, 1},
            {Idempotency.NON_IDEMPOTENT, List.of(HEAD + line("lost") + "0\r\n\r\n", DONE), 502, 1},
            {Idempotency.NON_IDEMPOTENT, List.of(REJECTED, REJECTED), 503, 2},
            {Idempotency.IDEMPOTENT, List.of(BREAK, DONE), 200, 2},
            {Idempotency.IDEMPOTENT, List.of(BREAK_LATE, DONE), 200, 2},
            {Idempotency.IDEMPOTENT, List.of("nonsense\r\n\r\n", DONE), 200, 2},
            {Idempotency.IDEMPOTENT, List.of(otherId, DONE), 200, 2},
            {Idempotency.IDEMPOTENT, List.of(HEAD + STARTED + "0\r\n\r\n", DONE), 200, 2},
        };
    }

    @Test(dataProvider = "lives", timeOut = TIMEOUT_MILLIS)
    public void answersOnceByWhatWorkersSaid(
            Idempotency effect, List<String> answers, int status, int launches) throws Exception {
        serve(effect, answers.toArray(new String[0]));
        String answer = ask(connect(), post(10));
        assertEquals(status(answer), status, answer);
        assertEquals(answer.endsWith("\r\n\r\nfine"), status == 200, answer);
        assertEquals(workers.messages.get(), launches);
        String first = workers.received.take();
        assertTrue(
                first.startsWith("POST /job/x HTTP/1.1\r\n") && first.endsWith("\r\n\r\nhi"),
                first);
        assertEquals(metric("launches_total"), launches);
        assertEquals(metric("answers_total{kind=\"fulfilled\"}"), status == 200 ? 1 : 0);
        assertEquals(metric("submissions_open"), 0);
    }

    /** Guards against two jobs of one id at the workers; the first goes on undisturbed. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void anOpenIdIsRefused() throws Exception {
        workers.responses.addAll(List.of(ACCEPTED, DONE));
        serve(Idempotency.IDEMPOTENT);
        Socket first = connect();
        first.getOutputStream().write(post(1.5).getBytes(StandardCharsets.UTF_8));
        workers.next();
        Socket second = connect();
        assertEquals(status(ask(second, post(10))), 409);
        assertEquals(status(read(first.getInputStream())), 503);
        assertEquals(workers.messages.get(), 1);
        // Once it is answered the id is free, and the refused connection is as good as any.
        assertEquals(status(ask(second, post(10))), 200);
    }

    /** Guards against jobs that no worker could know again. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void whatIsDeduplicatedNeedsItsKey() throws Exception {
        serve(Idempotency.IDEMPOTENT_BY_KEY, DONE);
        assertEquals(status(ask(connect(), post(10).replace("Idempotency-Key", "X-Other"))), 400);
        assertEquals(status(ask(connect(), post(10))), 200);
        assertEquals(workers.messages.get(), 1);
    }

    /**
     * A worker that refuses connections has run nothing: even what must not be repeated goes on.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void refusedConnectionsProveNothingRan() throws Exception {
        ServerSocket dead = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        InetSocketAddress refusing = (InetSocketAddress) dead.getLocalSocketAddress();
        dead.close();
        workers.responses.addAll(List.of(DONE, DONE, DONE, DONE, DONE, DONE));
        serve(Idempotency.NON_IDEMPOTENT, 1024, known(refusing, workers.listen()));
        // Which of two equals is chosen first is chance: six go wrong all the same with one chance
        // in 64.
        for (int i = 0; i < 6; i++) {
            assertEquals(status(ask(connect(), post(10))), 200);
        }
    }

    /** Guards against workers that are blamed, and left out, for closing a kept connection. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void aBreakOfAKeptConnectionIsStale() throws Exception {
        workers.responses.addAll(List.of(DONE, BREAK, DONE));
        serve(Idempotency.IDEMPOTENT, 1024, known(workers.listen()));
        assertEquals(status(ask(connect(), post(10))), 200);
        assertEquals(status(ask(connect(), post(10))), 200);
        assertEquals(metric("launch_ends_total{end=\"stale\"}"), 1);
        assertEquals(metric("launch_ends_total{end=\"broke\"}"), 0);
    }

    @DataProvider
    public Object[][] silences() {
        return new Object[][] {{Idempotency.IDEMPOTENT, 503}, {Idempotency.NON_IDEMPOTENT, 502}};
    }

    /** Rule 1, and rule 2 in what the answer promises; the launch's connection ends with it. */
    @Test(dataProvider = "silences", timeOut = TIMEOUT_MILLIS)
    public void answersBeforeTheOuterLimit(Idempotency effect, int status) throws Exception {
        serve(effect);
        long before = System.nanoTime();
        String answer = ask(connect(), post(0.3));
        double took = (System.nanoTime() - before) / 1e9;
        assertEquals(status(answer), status, answer);
        assertTrue(took > 0.2 && took < 1.3, "after " + took);
        assertTrue(workers.closed.take() > 0);
        assertEquals(metric("launch_ends_total{end=\"timed_out\"}"), 1);
    }

    /**
     * Guards against a place held for ever: no submission waits longer than the settings' longest
     * limit.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void aClientsPatienceHasABound() throws Exception {
        serve(Idempotency.IDEMPOTENT);
        assertEquals(status(ask(connect(), post(99_999_999))), 503);
    }

    /** Guards against work for nobody: a client that leaves takes its launch with it. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void aClientThatLeavesEndsItsLaunch() throws Exception {
        serve(Idempotency.IDEMPOTENT);
        Socket client = connect();
        client.getOutputStream().write(post(10).getBytes(StandardCharsets.UTF_8));
        workers.next();
        client.close();
        assertTrue(workers.closed.take() > 0);
        assertEquals(metric("clients_gone_total"), 1);
        assertEquals(metric("submissions_open"), 0);
    }

    /**
     * A connection serves one launch after the other, for both sides; only a whole answer frees it.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void keepsConnections() throws Exception {
        workers.responses.addAll(List.of(DONE, DONE, DONE));
        serve(Idempotency.IDEMPOTENT, 1024, known(workers.listen()));
        Socket client = connect();
        String two = ask(client, post(10) + post(10)) + read(client.getInputStream());
        assertEquals(two.split("fine", -1).length, 3, two);
        assertEquals(status(ask(client, post(10))), 200);
        assertEquals(workers.connections.get(), 1);
    }

    /**
     * The answer goes out with the last line, but what may still come bars its connection from use.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void anUnreadTailBarsReuse() throws Exception {
        workers.responses.addAll(List.of(DONE.substring(0, DONE.length() - 5), DONE));
        serve(Idempotency.IDEMPOTENT, 1024, known(workers.listen()));
        assertEquals(status(ask(connect(), post(10))), 200);
        assertEquals(status(ask(connect(), post(10))), 200);
        assertEquals(workers.connections.get(), 2);
        // Nor does it stay: a worker that never sends its last chunks would hold one for each
        // launch.
        assertEquals(workers.closed.take().intValue(), 1);
    }

    @DataProvider
    public Object[][] strangers() {
        return new Object[][] {
            {HEALTH, 200},
            {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 404},
            {post(1).replace("/job/", "/other/"), 404},
            {post(1).replace("POST", "PUT"), 404},
            {post(1).replace("X-Request-ID", "X-Other"), 400},
            {post(1).replace("X-Timeout", "X-Other"), 400},
            {post(1).replace("1.0", "0"), 400},
            {post(1).replace("1.0", "soon"), 400},
            {"hello\r\n\r\n", 400},
            {post(1).replace("Content-Length: 2", "Content-Length: 99999"), 413},
            {post(1).replace("77", "7".repeat(10_000)), 431},
        };
    }

    @Test(dataProvider = "strangers", timeOut = TIMEOUT_MILLIS)
    public void takesOnlySubmissions(String message, int status) throws Exception {
        serve(Idempotency.IDEMPOTENT, DONE);
        assertEquals(status(ask(connect(), message)), status);
        assertEquals(metric("submissions_taken_total"), 0);
        assertEquals(status(ask(connect(), post(10))), 200);
    }

    /**
     * Descriptors run out some day: who is idle makes room; with none idle one too many is told so.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void turnsAwayWhenFull() throws Exception {
        serve(Idempotency.IDEMPOTENT, 58, known(workers.listen()));
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(connect());
            assertEquals(status(ask(clients.get(i), HEALTH)), 200);
        }
        assertEquals(clients.get(0).getInputStream().read(), -1);
        for (int i = 11; i < 20; i++) {
            String message = post(10).replace("77", "" + (10 + i));
            clients.get(i).getOutputStream().write(message.getBytes(StandardCharsets.UTF_8));
            // Past its bound of seven connections to workers the last two are bounced, with an
            // answer.
            assertTrue(i >= 18 || workers.next().startsWith("POST"));
        }
        assertEquals(status(read(clients.get(19).getInputStream())), 503);
    }

    /**
     * Slow senders make room, the longest silent first, and are told to come back; nothing stalls.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void slowSendersMakeRoomAndAreTold() throws Exception {
        workers.responses.add(DONE);
        serve(Idempotency.IDEMPOTENT, 58, known(workers.listen()));
        List<Socket> slow = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            slow.add(connect());
            assertEquals(status(ask(slow.get(i), HEALTH + "POST /jo")), 200);
        }
        int status = 503;
        while (status == 503) {
            try (Socket next = connect()) {
                status = status(ask(next, post(10)));
            }
        }
        assertEquals(status, 200);
        String told = read(slow.get(0).getInputStream());
        assertEquals(status(told), 503);
        assertTrue(told.contains("Connection: close"), told);
    }

    /** Guards against places held for ever by messages that never end. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void slowSendersMakeRoomInTime() throws Exception {
        workers.responses.add(DONE);
        serve(Idempotency.IDEMPOTENT, 58, known(workers.listen()));
        for (int i = 0; i < 9; i++) {
            assertEquals(status(ask(connect(), HEALTH + "POST /jo")), 200);
        }
        int status = 503;
        while (status == 503) {
            try (Socket next = connect()) {
                status = status(ask(next, post(10)));
            }
        }
        assertEquals(status, 200);
    }

    /**
     * Owed within 3 s: an answer to a message without end, a close to silence; kept connections
     * stay.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void silenceAndEndlessMessagesEndInTime() throws Exception {
        serve(Idempotency.IDEMPOTENT, DONE);
        Socket kept = connect();
        assertEquals(status(ask(kept, HEALTH)), 200);
        long before = System.nanoTime();
        Socket silent = connect();
        Socket endless = connect();
        endless.getOutputStream()
                .write(post(10).replace("hi", "h").getBytes(StandardCharsets.UTF_8));
        String answer = read(endless.getInputStream());
        assertEquals(status(answer), 408);
        assertTrue(answer.contains("Connection: close"), answer);
        assertEquals(silent.getInputStream().read(), -1);
        assertTrue((System.nanoTime() - before) / 1e9 < 3);
        // Later messages have as long, from their first byte on.
        assertEquals(status(ask(kept, HEALTH + "POST /jo")), 200);
        assertEquals(status(read(kept.getInputStream())), 408);
    }

    /** Who only looks makes room before who submits, however long ago; nobody is closed unread. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void visitorsMakeRoomBeforeSubmitters() throws Exception {
        workers.responses.addAll(List.of(DONE, DONE, DONE));
        serve(Idempotency.IDEMPOTENT, 58, known(workers.listen()));
        Socket submitter = connect();
        assertEquals(status(ask(submitter, post(10))), 200);
        Socket visitor = connect();
        assertEquals(status(ask(visitor, HEALTH)), 200);
        List<Socket> fresh = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            fresh.add(connect());
        }
        assertEquals(visitor.getInputStream().read(), -1);
        assertEquals(status(ask(submitter, post(10))), 200);
        assertEquals(status(ask(fresh.get(0), post(10))), 200);
    }

    /**
     * Guards against hundreds who connect and say nothing: those who keep connections keep them.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void aCrowdOfStrangersPushesNobodyOut() throws Exception {
        workers.responses.addAll(List.of(DONE, DONE));
        serve(Idempotency.IDEMPOTENT, 58, known(workers.listen()));
        Socket kept = connect();
        assertEquals(status(ask(kept, post(10))), 200);
        for (int i = 0; i < 40; i++) {
            connect();
        }
        assertEquals(status(ask(kept, post(10))), 200);
    }

    /**
     * Bytes ahead of their turn wait, however many: the answer under way must not be lost for them.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void servesWhatCameAheadOfItsTurn() throws Exception {
        workers.responses.addAll(List.of(DONE, DONE, DONE, DONE, DONE));
        serve(Idempotency.IDEMPOTENT, 1024, known(workers.listen()));
        Socket client = connect();
        String large =
                post(10).replace(
                                "Content-Length: 2\r\n\r\nhi",
                                "Content-Length: 60000\r\n\r\n" + "h".repeat(60_000));
        start(
                () ->
                        client.getOutputStream()
                                .write(large.repeat(5).getBytes(StandardCharsets.UTF_8)));
        for (int i = 0; i < 5; i++) {
            assertEquals(status(read(client.getInputStream())), 200);
        }
        assertTrue(workers.received.take().endsWith("h".repeat(60_000)));
    }

    @DataProvider
    public Object[][] lists() {
        String text = "{\"version\":7,\"full\":false,\"servers\":[]}";
        String fresh = http(text);
        return new Object[][] {
            // what the first call is answered, and the call that follows it
            {fresh, "/v1/servers?from=7&hold_ms=HELD"},
            {
                fresh.replace("HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nConnection: close"),
                "/v1/servers?from=7&hold_ms=HELD"
            },
            {http(text.replace("7", "3")), "/v1/servers"},
            {http(text.replace("7", "5")), "/v1/servers?from=5&hold_ms=HELD"},
            {http(text.replace("false", "true")), "/v1/servers?from=7&hold_ms=HELD"},
            {http("nonsense"), "/v1/servers?from=5&hold_ms=0"},
            {"nonsense\r\n\r\n", "/v1/servers?from=5&hold_ms=0"},
            {fresh.replace("200", "503"), "/v1/servers?from=5&hold_ms=0"},
            {BREAK, "/v1/servers?from=5&hold_ms=0"},
            {SILENCE, "/v1/servers?from=5&hold_ms=0"},
        };
    }

    /** Rule 3 needs a watch that neither lapses nor hangs, whatever discovery answers. */
    @Test(dataProvider = "lists", timeOut = TIMEOUT_MILLIS)
    public void goesOnWatching(String answer, String call) throws Exception {
        discovery.responses.add(answer);
        serve(Idempotency.IDEMPOTENT, 1024, known(workers.listen()));
        assertEquals(discovery.next(), "GET /v1/servers?from=5&hold_ms=HELD HTTP/1.1");
        assertEquals(discovery.next(), "GET " + call + " HTTP/1.1");
    }

    /**
     * Guards against a hot loop with a discovery that neither holds calls nor gives whole lists.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void pausesBetweenAnswersThatTellNothing() throws Exception {
        String nothing = http("{\"version\":5,\"full\":false,\"servers\":[]}");
        discovery.responses.addAll(
                List.of(
                        nothing,
                        nothing,
                        nothing,
                        http("{\"version\":1,\"full\":false," + "\"servers\":[]}"),
                        nothing));
        long before = System.nanoTime();
        serve(Idempotency.IDEMPOTENT, 1024, known(workers.listen()));
        for (int i = 0; i < 4; i++) {
            assertTrue(discovery.next().contains("?from=5"));
        }
        assertTrue((System.nanoTime() - before) / 1e9 > 0.3);
        assertEquals(discovery.next(), "GET /v1/servers HTTP/1.1");
        assertEquals(discovery.next(), "GET /v1/servers HTTP/1.1");
        assertEquals(metric("list_failures_total"), 1);
    }

    /**
     * A configuration read again moves the watch: at once, for the whole list, until it is there.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void asksTheNewDiscoveryAtOnce() throws Exception {
        workers.responses.addAll(List.of(DONE, DONE));
        serve(Idempotency.IDEMPOTENT, 1024, "{\"version\":5,\"full\":true,\"servers\":[]}");
        discovery.next();
        Stub other = new Stub();
        Config moved = config(other.listen());
        service.reload(
                () -> {
                    throw new ConfigException("discovery", "is missing");
                });
        service.reload(() -> config);
        assertEquals(status(ask(connect(), post(10))), 503);
        assertEquals(discovery.closed.size(), 0);
        other.responses.addAll(List.of("nonsense\r\n\r\n", BREAK, http(known(workers.listen()))));
        service.reload(() -> moved);
        long before = System.nanoTime();
        for (int i = 0; i < 3; i++) {
            assertEquals(other.next(), "GET /v1/servers HTTP/1.1");
        }
        assertEquals(other.next(), "GET /v1/servers?from=5&hold_ms=HELD HTTP/1.1");
        assertTrue((System.nanoTime() - before) / 1e9 < 3);
        assertTrue(discovery.closed.take() > 0);
        assertEquals(status(ask(connect(), post(10))), 200);
        service.reload(() -> config);
        assertEquals(discovery.next(), "GET /v1/servers HTTP/1.1");
        assertTrue(other.closed.take() > 0);
    }

    /** Without a remembered list the whole is asked for, and used. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void launchesByTheListAlone() throws Exception {
        workers.responses.add(DONE);
        discovery.responses.add(http(known(workers.listen())));
        serve(Idempotency.IDEMPOTENT, 1024, "{\"version\":0,\"full\":true,\"servers\":[]}");
        discovery.next();
        discovery.next();
        assertEquals(status(ask(connect(), post(10))), 200);
    }

    @DataProvider
    public Object[][] badStarts() {
        return new Object[][] {
            {"nonsense", "known"}, {"{\"version\":1}", "known"}, {known(), "listen"}
        };
    }

    /** A start that cannot serve ends at once, and names the key at fault. */
    @Test(dataProvider = "badStarts", timeOut = TIMEOUT_MILLIS)
    public void namesWhatKeepsItFromStarting(String known, String key) throws Exception {
        Config config =
                new Config(
                        "n0",
                        discovery.listen(),
                        discovery.listen(),
                        null,
                        null,
                        64,
                        Double.NaN,
                        known.getBytes(StandardCharsets.UTF_8),
                        new PolicyHarness.SettingsFixture().settings(),
                        0.5,
                        10,
                        2,
                        false,
                        null);
        String message =
                expectThrows(ConfigException.class, () -> new Service(config).start()).getMessage();
        assertTrue(message.contains("'" + key + "'"), message);
    }

    /**
     * Who is alone serves its kept connections to the end, and tells the others when it will be
     * back.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void servesOnWhileItDrainsAlone() throws Exception {
        maxTimeoutSeconds = 10;
        workers.responses.addAll(List.of(DONE, DONE, ACCEPTED, ACCEPTED, ACCEPTED));
        serve(Idempotency.IDEMPOTENT, 1024, known(workers.listen()));
        Socket kept = connect();
        assertEquals(status(ask(kept, post(10))), 200);
        Socket other = connect();
        assertEquals(status(ask(other, post(10).replace("/job/", "/other/"))), 404);
        CompletableFuture<Void> ended = drain(service);
        awaitDraining();
        boolean listening = true;
        while (listening) {
            try (Socket next = connect()) {
                ask(next, HEALTH);
            } catch (IOException e) {
                listening = false;
            }
        }
        String served = ask(kept, post(10));
        assertTrue(
                served.startsWith("HTTP/1.1 200") && !served.contains("Connection: close"), served);
        workers.received.clear();
        other.getOutputStream().write(post(10).getBytes(StandardCharsets.UTF_8));
        workers.next();
        String late =
                ask(
                        kept,
                        post(10).replace("77", "78").replace("X-Cost: 20000", "X-Cost: 19000000"));
        assertTrue(late.startsWith("HTTP/1.1 503") && late.contains("Retry-After: 2.0\r\n"), late);
        String last = read(other.getInputStream());
        assertTrue(
                last.startsWith("HTTP/1.1 503")
                        && last.contains("Retry-After: 1.")
                        && last.contains("Connection: close"),
                last);
        ended.get();
        service = null;
    }

    /**
     * Who is slow to write as the signal comes is served all the same, though nothing else is left
     * to do.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void slowWritersAreServedBeforeItEnds() throws Exception {
        workers.responses.add(DONE);
        serve(Idempotency.NON_IDEMPOTENT, 1024, known(workers.listen()), 2);
        Socket slow = connect();
        byte[] message = post(10).getBytes(StandardCharsets.UTF_8);
        int half = message.length / 2;
        slow.getOutputStream().write(message, 0, half);
        CompletableFuture<Void> ended = drain(service);
        awaitDraining();
        // A byte at a time, and so for longer than the listening socket stays open.
        for (int i = half; i < message.length; i++) {
            slow.getOutputStream().write(message, i, 1);
            LockSupport.parkNanos(1_500_000_000L / (message.length - half));
        }
        assertEquals(status(read(slow.getInputStream())), 200);
        ended.get();
        service = null;
    }

    /**
     * The end that a signal brings: what was taken is answered, and nothing after that is accepted.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void answersAllBeforeItEnds() throws Exception {
        workers.responses.addAll(List.of(HEAD + STARTED + STARTED));
        serve(Idempotency.NON_IDEMPOTENT, 1024, known(workers.listen()), 2);
        Socket waiting = connect();
        waiting.getOutputStream().write(post(10).getBytes(StandardCharsets.UTF_8));
        workers.next();
        CompletableFuture<Void> ended = drain(service);
        String health = awaitDraining();
        assertTrue(health.contains("Connection: close"), health);
        String answer = read(waiting.getInputStream());
        assertEquals(status(answer), 502, answer);
        assertTrue(answer.contains("Connection: close"), answer);
        ended.get();
        expectThrows(IOException.class, this::connect);
        service = null;
    }
}
