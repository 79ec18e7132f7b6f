package wheelroute.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Idempotency;
import wheelroute.decision.Ids;
import wheelroute.decision.Request;
import wheelroute.net.clients.ClientRequest;
import wheelroute.net.clients.ClientResponse;
import wheelroute.net.clients.RequestAcceptor;
import wheelroute.net.metrics.Counters;
import wheelroute.net.requests.Exchange;
import wheelroute.net.requests.RequestDispatcher;

/**
 * Two events that cross, each put into the order that does harm: docs/narrow-moments.md tells of
 * each.
 */
public class NarrowMomentsTest extends ServiceHarness {
    /**
     * At the clock, from the reading of a message until all of its answer is out, are fewer than
     * these.
     */
    private static final int MOST_LOOKS = 80;

    /** Longer than any connection's rest, shorter than any outer limit. */
    private static final double WHILE = 0.2;

    private void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String job(int id) {
        return post(10).replace("77", Integer.toString(id));
    }

    /** What it hears without any time passing. */
    private static String soon(Stub stub) throws InterruptedException {
        String heard = stub.received.poll(2, TimeUnit.SECONDS);
        return heard == null ? "nothing came" : held(heard.substring(0, heard.indexOf("\r\n")));
    }

    /** From here on one more message is heard on it, and nothing that comes behind that. */
    private void unheardAfter(Socket client, String message) throws Exception {
        ask(client, message);
        loop.settle();
        loop.holdReads(client.getLocalPort());
    }

    private void await(String figure, long value) throws IOException {
        while (metric(figure) != value) {
            LockSupport.parkNanos(1_000_000);
        }
    }

    // ---- clients that leave while they wait

    private enum Leaving {
        CLOSE,
        HALF_CLOSE,
        RESET
    }

    @DataProvider
    public Object[][] leavings() {
        return new Object[][] {
            {0, Leaving.CLOSE}, {0, Leaving.HALF_CLOSE}, {0, Leaving.RESET},
            {1, Leaving.CLOSE}, {20_000, Leaving.CLOSE}, {200_000, Leaving.CLOSE},
            {20_000, Leaving.HALF_CLOSE}, {20_000, Leaving.RESET},
        };
    }

    /** Its end is seen behind whatever it sent on: its launch is called off, and none follows. */
    @Test(dataProvider = "leavings", timeOut = TIMEOUT_MILLIS)
    public void aClientThatSentMoreAndLeftIsSeen(int more, Leaving how) throws Exception {
        maxTimeoutSeconds = 60;
        serve(Idempotency.IDEMPOTENT);
        Socket client = connect();
        send(client, post(60.0) + "x".repeat(more));
        workers.next();
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

    /**
     * What came before its turn is read no further than to a bound, and answered whole, in its
     * order.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void whatComesAheadIsAnsweredInItsTurn() throws Exception {
        workers.responses.add(DONE);
        serve(Idempotency.IDEMPOTENT, 1024, known(workers.listen()));
        Socket client = connect();
        int pages = 10_000;
        start(() -> send(client, HEALTH.repeat(pages) + job(88)));
        for (int i = 0; i < pages; i++) {
            assertEquals(status(read(client.getInputStream())), 200);
        }
        assertTrue(read(client.getInputStream()).endsWith("\r\n\r\nfine"));
    }

    /**
     * Who sends much behind its message takes the room of who does the same, and of nobody else.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void aCrowdThatSendsAheadKeepsNobodyOut() throws Exception {
        // No worker is to be taken for a silent one.
        clock.stop();
        maxTimeoutSeconds = 60;
        int crowd = 24;
        InetSocketAddress[] at = new InetSocketAddress[crowd];
        for (int i = 0; i < crowd; i++) {
            // One for each, so that none is bounced.
            at[i] = workers.listen();
        }
        serve(Idempotency.IDEMPOTENT, 1024, known(at));
        for (int i = 0; i < crowd; i++) {
            Socket one = connect();
            send(one, job(100 + i).replace("10.0", "60.0"));
            workers.next();
        }
        for (AutoCloseable one : List.copyOf(open)) {
            if (one instanceof Socket client && client.getPort() == port) {
                client.getOutputStream().write(new byte[200_000]);
            }
        }
        // All of it has come, and is more than there is room for: it is read until there is none.
        for (long before = -1; before != loop.bytesRead.get(); ) {
            before = loop.bytesRead.get();
            for (int i = 0; i < 10; i++) {
                loop.settle();
            }
        }
        assertTrue(loop.bytesRead.get() < crowd * 200_000L, "all of it was read");
        assertEquals(status(ask(connect(), HEALTH)), 200);
        assertEquals(metric("submissions_open"), crowd);
    }

    /** Its end lies unread as its launch breaks: nothing is launched again for it. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void nothingIsLaunchedAgainForAClientThatLeftUnseen() throws Exception {
        ServerSocket worker = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        open.add(worker);
        InetSocketAddress address = (InetSocketAddress) worker.getLocalSocketAddress();
        serve(Idempotency.IDEMPOTENT, 1024, known(address, workers.listen()));
        worker.setSoTimeout(50);
        // Which of the two is chosen is chance; the other one stays silent.
        Socket client = null;
        Socket launched = null;
        int asked = 0;
        while (launched == null) {
            client = connect();
            unheardAfter(client, HEALTH);
            send(client, job(100 + asked++));
            await("launches_total", asked);
            launched = acceptIfSoon(worker);
        }
        open.add(launched);
        read(launched.getInputStream());
        client.close();
        launched.close();
        await("launch_ends_total{end=\"broke\"}", 1);
        await("submissions_open", asked - 1);
        assertEquals(metric("launches_total"), asked, "launched again for nobody");
        assertEquals(metric("clients_gone_total"), 1);
    }

    private static Socket acceptIfSoon(ServerSocket server) throws IOException {
        try {
            return server.accept();
        } catch (SocketTimeoutException e) {
            return null;
        }
    }

    // ---- connections that come up late

    @DataProvider
    public Object[][] listings() {
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

    /**
     * Rule 3: its worker is told draining or gone while it waits for a connection, and it goes
     * elsewhere.
     */
    @Test(dataProvider = "listings", timeOut = TIMEOUT_MILLIS)
    public void aLaunchThatWaitsForItsConnectionHearsOfADrain(Idempotency effect, String list)
            throws Exception {
        Stub[] stubs = {new Stub(), new Stub()};
        InetSocketAddress[] at = {stubs[0].listen(), stubs[1].listen()};
        stubs[0].responses.add(DONE);
        stubs[1].responses.add(DONE);
        serve(effect, 1024, known(at));
        discovery.next();
        loop.holdConnects(Set.of(at));
        Socket client = connect();
        send(client, post(10));
        InetSocketAddress first = (InetSocketAddress) loop.connecting.take();
        int chosen = first.equals(at[0]) ? 0 : 1;
        discovery.say(
                http(
                        list.replace("PORT", "" + first.getPort())
                                .replace("OTHER", "" + at[1 - chosen].getPort())));
        discovery.next();
        loop.releaseAll();
        assertEquals(status(read(client.getInputStream())), 200);
        assertEquals(stubs[chosen].messages.get(), 0, "sent to a worker that drains");
        assertEquals(stubs[1 - chosen].messages.get(), 1);
        await("connections_open{peer=\"worker\"}", 1);
    }

    /** The same where it is listed as started anew: decided anew, and sent once. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void aLaunchThatWaitsForItsConnectionHearsOfARestart() throws Exception {
        Stub worker = new Stub();
        InetSocketAddress at = worker.listen();
        worker.responses.add(DONE);
        serve(Idempotency.NON_IDEMPOTENT, 1024, known(at));
        discovery.next();
        loop.holdConnects(Set.of(at));
        Socket client = connect();
        send(client, post(10));
        loop.connecting.take();
        discovery.say(http(known(at).replace("\"state\"", "\"started_ms\":1000,\"state\"")));
        discovery.next();
        loop.releaseAll();
        assertEquals(status(read(client.getInputStream())), 200);
        assertEquals(worker.messages.get(), 1);
        assertEquals(metric("launch_ends_total{end=\"refused\"}"), 0);
        assertEquals(metric("launch_ends_total{end=\"ended_unsent\"}"), 1);
        await("connections_open{peer=\"worker\"}", 1);
    }

    /** The client's end, unread, as its connection to a worker comes up. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void aLateConnectionCarriesNothingForAClientThatLeftUnseen() throws Exception {
        InetSocketAddress at = workers.listen();
        serve(Idempotency.IDEMPOTENT, 1024, known(at));
        loop.holdConnects(Set.of(at));
        Socket client = connect();
        unheardAfter(client, HEALTH);
        send(client, post(10));
        loop.connecting.take();
        client.close();
        loop.releaseAll();
        await("submissions_open", 0);
        assertEquals(metric("launches_written_total"), 0);
        assertEquals(metric("clients_gone_total"), 1);
    }

    // ---- kept connections

    /**
     * A second answer, late, to a launch before: what must not run twice does not go where it may
     * come.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void whatMustNotRunTwiceWaitsForNoOthersAnswer() throws Exception {
        clock.stop();
        workers.responses.add(DONE);
        serve(Idempotency.NON_IDEMPOTENT, 1024, known(workers.listen()));
        Socket first = connect();
        assertEquals(status(ask(first, post(10))), 200);
        Socket late = workers.last;
        workers.received.clear();
        Socket second = connect();
        send(second, job(88));
        workers.next();
        late.getOutputStream().write(REJECTED.getBytes(StandardCharsets.UTF_8));
        // The launch it might be taken for runs, and is answered.
        assertTrue(
                workers.last != late, "on the connection that may still speak of the one before");
        workers.say(DONE.replace("ID", "88"));
        assertEquals(status(read(second.getInputStream())), 200);
        assertEquals(workers.messages.get(), 2, "launched twice");
    }

    /** Once it has rested a connection is as good as a new one. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void aRestedConnectionIsUsedAgain() throws Exception {
        clock.stop();
        workers.responses.addAll(List.of(DONE, DONE, DONE));
        serve(Idempotency.NON_IDEMPOTENT, 1024, known(workers.listen()));
        assertEquals(status(ask(connect(), post(10))), 200);
        loop.step(WHILE);
        assertEquals(status(ask(connect(), post(10))), 200);
        assertEquals(workers.connections.get(), 1);
        assertEquals(status(ask(connect(), post(10))), 200);
        assertEquals(workers.connections.get(), 2);
    }

    /**
     * What may run again goes there, but a bad answer then ends the connection before it is
     * believed.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void aBadAnswerOnAnUnrestedConnectionEndsIt() throws Exception {
        clock.stop();
        workers.responses.add(DONE);
        serve(Idempotency.IDEMPOTENT, 1024, known(workers.listen()));
        assertEquals(status(ask(connect(), post(10))), 200);
        workers.received.clear();
        Socket second = connect();
        send(second, job(88));
        workers.next();
        assertEquals(workers.connections.get(), 1);
        workers.say("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
        assertEquals(
                workers.closed.poll(TIMEOUT_MILLIS / 2, TimeUnit.MILLISECONDS),
                Integer.valueOf(1),
                "it may run there still");
    }

    @DataProvider
    public Object[][] strayBytes() {
        return new Object[][] {{"HTTP/1.1 5"}, {"\r\n"}, {REJECTED}, {DONE}};
    }

    /**
     * Part of an answer to nothing, read while the connection is idle, would begin the next one's
     * answer.
     */
    @Test(dataProvider = "strayBytes", timeOut = TIMEOUT_MILLIS)
    public void whatAnIdleConnectionSaysEndsIt(String stray) throws Exception {
        // It is not to expire.
        clock.stop();
        workers.responses.addAll(List.of(DONE, DONE));
        serve(Idempotency.NON_IDEMPOTENT, 1024, known(workers.listen()));
        assertEquals(status(ask(connect(), post(10))), 200);
        workers.say(stray);
        assertEquals(
                workers.closed.poll(TIMEOUT_MILLIS / 2, TimeUnit.MILLISECONDS),
                Integer.valueOf(1),
                "kept with part of an answer");
        assertEquals(status(ask(connect(), post(10))), 200);
    }

    // ---- list watches

    private static final String NOTHING_NEW = "{\"version\":5,\"full\":false,\"servers\":[]}";
    private static final String HELD_CALL = "GET /v1/servers?from=5&hold_ms=HELD HTTP/1.1";
    private static final String SHORT_CALL = "GET /v1/servers?from=5&hold_ms=0 HTTP/1.1";

    /**
     * Rule 3: a silent watch is opened anew long before what it kept back counts as told, and
     * twice.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void aSilentWatchIsOpenedAnewAtOnce() throws Exception {
        clock.stop();
        serve(Idempotency.IDEMPOTENT, 1024, known(workers.listen()));
        assertEquals(discovery.next(), HELD_CALL);
        loop.step(4.8);
        // No time passes here: a pause would not end.
        assertEquals(soon(discovery), SHORT_CALL);
        // The second is silent as well: known 1.2 s later, and asked again 0.2 s after that, 6.2 s
        // in all.
        loop.step(1.21);
        loop.step(0.21);
        assertEquals(discovery.next(), SHORT_CALL);
    }

    /** A discovery that never answers is not asked in haste for ever. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void aDiscoveryThatStaysSilentIsLeftInPeace() throws Exception {
        clock.stop();
        serve(Idempotency.IDEMPOTENT, 1024, known(workers.listen()));
        for (int i = 0; i < 100; i++) {
            loop.step(0.2);
            // A round trip, in which a call that is due goes out.
            metric("list_calls_total");
        }
        long calls = metric("list_calls_total");
        assertTrue(calls >= 4 && calls <= 9, calls + " calls in 20 s");
    }

    /**
     * A watch that worked and then breaks is opened anew at once, and a refused one after a pause.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void aBrokenWatchIsOpenedAnewAtOnce() throws Exception {
        clock.stop();
        discovery.responses.addAll(List.of(http(NOTHING_NEW.replace("false", "true")), BREAK));
        serve(Idempotency.IDEMPOTENT, 1024, known(workers.listen()));
        assertEquals(discovery.next(), HELD_CALL);
        assertEquals(discovery.next(), HELD_CALL);
        // The one after the break: no time has passed, and none is to pass before what is known
        // there comes.
        assertEquals(soon(discovery), SHORT_CALL);
    }

    /** An answer that stops in its middle may hold what counts as told: it is given up sooner. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void anAnswerThatStopsInItsMiddleIsGivenUp() throws Exception {
        clock.stop();
        discovery.responses.add(
                "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"version\":6,\"fu");
        serve(Idempotency.IDEMPOTENT, 1024, known(workers.listen()));
        assertEquals(discovery.next(), HELD_CALL);
        // Its first part is read before the time goes on.
        metric("list_calls_total");
        loop.step(1.01);
        assertEquals(soon(discovery), SHORT_CALL);
    }

    /** Where the agent's news count as told unasked, no failure is waited out, nor is the tenth. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void aPushedListIsAskedForAgainSoon() throws Exception {
        clock.stop();
        listIsPushed = true;
        for (int i = 0; i < 10; i++) {
            discovery.responses.add("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
        }
        serve(Idempotency.IDEMPOTENT, 1024, known(workers.listen()));
        for (int i = 0; i < 10; i++) {
            assertEquals(soon(discovery), i == 0 ? HELD_CALL : SHORT_CALL);
            await("list_failures_total", i + 1);
            loop.step(0.25);
        }
    }

    // ---- a process that stood still

    /** Stops the loop's thread in its tracks; it goes on when the latch is down. */
    private CountDownLatch standStill() throws InterruptedException {
        CountDownLatch stands = new CountDownLatch(1);
        CountDownLatch goesOn = new CountDownLatch(1);
        loop.post(
                () -> {
                    stands.countDown();
                    try {
                        goesOn.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        stands.await();
        return goesOn;
    }

    @DataProvider
    public Object[][] unread() {
        // How many connections, and whether they were there before.
        return new Object[][] {{1, false}, {1, true}, {300, false}, {600, true}};
    }

    /**
     * What lay unread in a standstill may be as old as that: who has no time left is told at once.
     */
    @Test(dataProvider = "unread", timeOut = TIMEOUT_MILLIS)
    public void whatLayUnreadMayBeAsOldAsTheStandstill(int count, boolean kept) throws Exception {
        clock.stop();
        maxTimeoutSeconds = 60;
        workers.responses.addAll(List.of(DONE, DONE));
        serve(Idempotency.NON_IDEMPOTENT, 2600, known(workers.listen()));
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < count && kept; i++) {
            clients.add(connect());
            ask(clients.get(i), HEALTH);
        }
        CountDownLatch goesOn = standStill();
        for (int i = 0; i < count; i++) {
            if (!kept) {
                clients.add(connect());
            }
            send(clients.get(i), job(100 + i).replace("10.0", "3.8"));
        }
        Socket patient = connect();
        send(patient, job(99));
        clock.step(4);
        goesOn.countDown();
        for (Socket client : clients) {
            assertEquals(status(read(client.getInputStream())), 503);
        }
        assertEquals(status(read(patient.getInputStream())), 200);
        String launched = workers.received.take();
        assertTrue(launched.contains("X-Request-ID: 99\r\n"), launched);
        assertTrue(launched.contains("X-Timeout: 5.9"), launched);
        // What comes after it has all of its time.
        assertEquals(status(ask(clients.get(0), job(98).replace("10.0", "3.8"))), 200);
        launched = workers.received.take();
        assertTrue(launched.contains("X-Timeout: 3.7"), launched);
    }

    /**
     * The process stands still between any two looks at the clock: nothing goes out past its time.
     */
    @Test(timeOut = 2 * TIMEOUT_MILLIS)
    public void nothingGoesOutPastItsTimeWhereverItStandsStill() throws Exception {
        clock.stop();
        workers.responses.addAll(Collections.nCopies(2 * MOST_LOOKS, DONE));
        InetSocketAddress[] at = new InetSocketAddress[MOST_LOOKS];
        for (int i = 0; i < MOST_LOOKS; i++) {
            // One for each, as who seems to have been silent is avoided for a while.
            at[i] = workers.listen();
        }
        serve(Idempotency.NON_IDEMPOTENT, 1024, known(at));
        int launched = 0;
        for (int looks = 1; looks <= MOST_LOOKS; looks++) {
            Socket client = connect();
            ask(client, HEALTH);
            // Connections to workers rest, so that they are used again.
            loop.step(WHILE);
            workers.received.clear();
            clock.jumpAfterReads(looks, 4);
            // The harness cuts outer limits to 2 s.
            int status = status(ask(client, job(10 + looks)));
            assertTrue(List.of(200, 502, 503).contains(status), looks + " looks: " + status);
            loop.settle();
            for (String message = workers.received.poll();
                    message != null;
                    message = workers.received.poll()) {
                launched++;
                assertTrue(
                        message.matches("(?s).*X-Timeout: [0-9.]*[1-9].*"),
                        looks + " looks: " + message);
            }
        }
        assertTrue(launched > 0, "nothing was launched");
    }

    @DataProvider
    public Object[][] ahead() {
        return new Object[][] {{"1.0", 503}, {"5.0", 200}};
    }

    /**
     * What a client sends ahead of its turn waits from when it came, and not from when its turn
     * comes.
     */
    @Test(dataProvider = "ahead", timeOut = TIMEOUT_MILLIS)
    public void whatComesAheadIsAsOldAsItIs(String timeout, int status) throws Exception {
        clock.stop();
        maxTimeoutSeconds = 60;
        // The one that is silent for so long is not chosen again.
        serve(Idempotency.NON_IDEMPOTENT, 1024, known(workers.listen(), workers.listen()));
        Socket client = connect();
        send(client, job(88));
        workers.next();
        long before = loop.bytesRead.get();
        String next = job(99).replace("10.0", timeout);
        send(client, next);
        while (loop.bytesRead.get() < before + next.length()) {
            loop.settle();
        }
        loop.step(2);
        workers.responses.addAll(List.of("", DONE));
        workers.say(DONE.replace("ID", "88"));
        assertEquals(status(read(client.getInputStream())), 200);
        assertEquals(status(read(client.getInputStream())), status);
        String launched = workers.received.poll();
        assertTrue(
                status == 503 ? launched == null : launched.contains("X-Timeout: 2.9"), launched);
    }

    // ---- the end

    /**
     * A message that comes in the last moment on a connection that said nothing is answered all the
     * same.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void whatComesInTheLastMomentIsAnswered() throws Exception {
        clock.stop();
        workers.responses.addAll(List.of(DONE, DONE));
        serve(Idempotency.IDEMPOTENT, 1024, known(workers.listen()), 2);
        Socket silent = new Socket();
        open.add(silent);
        silent.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        loop.holdReads(silent.getLocalPort());
        silent.connect(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port), TIMEOUT_MILLIS);
        silent.setSoTimeout(TIMEOUT_MILLIS);
        // Accepted after it.
        assertEquals(status(ask(connect(), HEALTH)), 200);
        loop.step(WHILE);
        CompletableFuture<Void> ended = drain(service);
        awaitDraining();
        send(silent, post(10));
        // Until the end, or until it was seen; then the worker has all the time that it needs.
        while (service.counters().value(Counters.Counter.ATTEMPTS) == 0 && !ended.isDone()) {
            loop.step(0.02);
        }
        assertEquals(status(read(silent.getInputStream())), 200);
        clock.resume();
        ended.get();
        service = null;
    }

    /**
     * A fault of the decisions, from the taking on: at its outer limit it is scrapped all the same.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void aFaultOfTheDecisionsTakesNoAnswerWithIt() throws Exception {
        expectsFaults = true;
        serve(Idempotency.IDEMPOTENT);
        RequestDispatcher dispatcher =
                new RequestDispatcher(
                        loop,
                        new Counters(List.of(new Ids.RequestClass("job"))),
                        null,
                        config.settings(),
                        2);
        CompletableFuture<Integer> status = new CompletableFuture<>();
        ClientRequest message =
                new ClientRequest(
                        "POST",
                        "/job/x",
                        "77",
                        null,
                        null,
                        "",
                        10,
                        1,
                        1,
                        0,
                        false,
                        true,
                        new byte[0]);
        Request submission =
                new Request(
                        new Ids.Request(1),
                        new Ids.RequestClass("job"),
                        new Ids.Tenant(""),
                        loop.now() + 2,
                        1,
                        1,
                        0,
                        false,
                        null);
        loop.post(
                () -> {
                    Exchange exchange =
                            new Exchange(
                                    dispatcher,
                                    loop,
                                    submission,
                                    message,
                                    new RequestAcceptor.ResponseSender() {
                                        @Override
                                        public void send(ClientResponse answer) {
                                            status.complete(answer.status());
                                        }

                                        @Override
                                        public boolean hasClientLeft() {
                                            return false;
                                        }
                                    },
                                    false);
                    // There is no policy: its call fails as one would that throws.
                    dispatcher.runEvent(() -> exchange.begin(null));
                    exchange.onDeadline();
                });
        assertEquals(status.get().intValue(), 502);
    }
}
