package wheelroute.net;

import static org.testng.Assert.assertEquals;
import static wheelroute.net.HttpMessages.ACCEPTED;
import static wheelroute.net.HttpMessages.HEALTH_CHECK;
import static wheelroute.net.HttpMessages.STARTED;
import static wheelroute.net.HttpMessages.endpointList;
import static wheelroute.net.HttpMessages.exchange;
import static wheelroute.net.HttpMessages.jobRequest;
import static wheelroute.net.HttpMessages.okResponse;
import static wheelroute.net.HttpMessages.progressLine;
import static wheelroute.net.HttpMessages.readMessage;
import static wheelroute.net.HttpMessages.send;
import static wheelroute.net.HttpMessages.statusOf;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.config.Config;
import wheelroute.decision.Idempotency;
import wheelroute.net.lifecycle.Service;
import wheelroute.net.loop.ControlledEventLoop;
import wheelroute.net.metrics.Counters;

/**
 * Tests that no attempt is started for a waiting request whose client has disconnected, whatever
 * the request waits for and however the connection ends.
 */
public class DisconnectBeforeAttemptTest extends ServiceHarness {
    /** Input that is far longer than one read, and shorter than the limit on pipelined input. */
    private static final String INPUT_LONGER_THAN_ONE_READ = "x".repeat(20_000);

    private static final int WORKER_COUNT = 3;

    /** Descriptor limit that allows {@link #MAX_CLIENT_CONNECTIONS} client connections. */
    private static final int DESCRIPTOR_LIMIT = 72;

    private static final int MAX_CLIENT_CONNECTIONS = 16;

    private static final String REMOVAL =
            "{\"version\":6,\"full\":false,\"servers\":[{\"id\":\"wPORT\","
                    + "\"addr\":\"127.0.0.1:PORT\",\"zone\":\"here\",\"kind\":\"m\",\"cell\":1,"
                    + "\"state\":\"gone\"}]}";

    /** How the client disconnects. */
    private enum Disconnect {
        /**
         * The client stays connected and the attempt is started, which shows that the other cases
         * are effective.
         */
        NONE,
        /** The client closes the connection with FIN. */
        CLOSE_CONNECTION,
        /** The client closes the connection with RST. */
        RESET,
        /** The client closes its socket with an unread response, which sends RST. */
        RESET_OVER_UNREAD_RESPONSE,
        /** The client sends FIN and still reads. */
        HALF_CLOSE,
        /** The client sends FIN behind more bytes than one read takes. */
        HALF_CLOSE_BEHIND_INPUT,
        /** The client sends RST behind more bytes than one read takes. */
        RESET_BEHIND_INPUT
    }

    /** What the request waits for when the client disconnects. */
    private enum WaitReason {
        /** The busy event loop has not accepted the connection, and all connections are in use. */
        CONNECTION_LIMIT,
        /** The busy event loop has not read the request. */
        EVENT_LOOP,
        /** An earlier request with the same key is running. */
        KEY_QUEUE,
        KEY_QUEUE_WHILE_DRAINING,
        KEY_QUEUE_DURING_HANDOVER,
        /** A new connection to a worker is being established. */
        WORKER_CONNECTION,
        WORKER_CONNECTION_WHILE_DRAINING,
        /** The first attempt has not failed yet, and a retry will follow its failure. */
        RETRY,
        /** The first worker will be removed from the list, and a hedged request will follow. */
        HEDGED_REQUEST;

        boolean isKeyQueue() {
            return name().startsWith("KEY_QUEUE");
        }

        boolean isWorkerConnection() {
            return name().startsWith("WORKER_CONNECTION");
        }

        /** Returns whether the event loop has not read the request when its client disconnects. */
        boolean isEventLoop() {
            return this == CONNECTION_LIMIT || this == EVENT_LOOP;
        }

        boolean isFurtherAttempt() {
            return this == RETRY || this == HEDGED_REQUEST;
        }

        boolean startsShutdown() {
            return this == KEY_QUEUE_WHILE_DRAINING
                    || this == KEY_QUEUE_DURING_HANDOVER
                    || this == WORKER_CONNECTION_WHILE_DRAINING;
        }
    }

    @DataProvider
    public Object[][] disconnects() {
        List<Object[]> rows = new ArrayList<>();
        for (WaitReason reason : WaitReason.values()) {
            for (Disconnect disconnect : Disconnect.values()) {
                if (reason != WaitReason.CONNECTION_LIMIT
                        || disconnect != Disconnect.RESET_OVER_UNREAD_RESPONSE) {
                    // A connection that is not accepted yet has no response to leave unread.
                    rows.add(new Object[] {reason, disconnect});
                }
            }
        }
        return rows.toArray(new Object[0][]);
    }

    private static String jobRequestWithKey(int id) {
        return jobRequest(10)
                .replace("77", Integer.toString(id))
                .replace("X-Cost", "X-Route-Key: a\r\nX-Cost");
    }

    private int openRequests() throws Exception {
        CompletableFuture<Integer> open = new CompletableFuture<>();
        loop.post(() -> open.complete(service.gauges().open()));
        return open.get();
    }

    private void awaitOpenRequests(int count) throws Exception {
        while (openRequests() != count) {
            LockSupport.parkNanos(1_000_000);
        }
    }

    /**
     * Connects a client that sends one health check, and hides all its later input from the event
     * loop.
     */
    private Socket connectWithHeldInput(Disconnect disconnect) throws Exception {
        Socket client = connect();
        send(client, HEALTH_CHECK);
        if (disconnect != Disconnect.RESET_OVER_UNREAD_RESPONSE) {
            readMessage(client.getInputStream());
        } else {
            while (client.getInputStream().available() == 0) {
                LockSupport.parkNanos(1_000_000);
            }
        }
        loop.awaitPendingTasks();
        loop.holdReads(client.getLocalPort());
        return client;
    }

    private static void disconnect(Socket client, Disconnect disconnect) throws IOException {
        if (disconnect.name().endsWith("BEHIND_INPUT")) {
            send(client, INPUT_LONGER_THAN_ONE_READ);
        }
        switch (disconnect) {
            case NONE -> {}
            case HALF_CLOSE, HALF_CLOSE_BEHIND_INPUT -> client.shutdownOutput();
            case RESET, RESET_BEHIND_INPUT -> {
                client.setSoLinger(true, 0);
                client.close();
            }
            default -> client.close();
        }
    }

    private void serve(WaitReason reason, Set<SocketAddress> addresses) throws Exception {
        workers.responses.addAll(List.of(ACCEPTED, ACCEPTED, ACCEPTED, ACCEPTED));
        for (int i = 0; i < WORKER_COUNT; i++) {
            addresses.add(workers.listen());
        }
        maxTimeoutSeconds = 60;
        ordered = reason.isKeyQueue();
        hasAdminServer = reason == WaitReason.KEY_QUEUE_DURING_HANDOVER;
        mayHedge = reason == WaitReason.HEDGED_REQUEST;
        boolean needsSecondAttempt =
                reason == WaitReason.RETRY || reason == WaitReason.HEDGED_REQUEST;
        serve(
                needsSecondAttempt ? Idempotency.IDEMPOTENT : Idempotency.NON_IDEMPOTENT,
                reason == WaitReason.CONNECTION_LIMIT ? DESCRIPTOR_LIMIT : 1024,
                endpointList(addresses.toArray(new InetSocketAddress[0])),
                2);
        if (hasAdminServer) {
            restartOnSamePort();
        }
    }

    /** Restarts the service so that another process can listen on its port as well. */
    private void restartOnSamePort() throws Exception {
        service.drain();
        handoverDirectory = Files.createTempDirectory("handover");
        config =
                new Config(
                        "n0",
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                        config.discovery(),
                        config.admin(),
                        handoverDirectory,
                        1024,
                        Double.NaN,
                        config.cachedEndpoints(),
                        config.settings(),
                        0.5,
                        10,
                        maxTimeoutSeconds,
                        false,
                        null);
        loop = new ControlledEventLoop(clock, 0.5);
        service = new Service(config, loop);
        service.start();
        while (!hasSocket(handoverDirectory)) {
            LockSupport.parkNanos(1_000_000);
        }
    }

    private static boolean hasSocket(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.anyMatch(file -> file.toString().endsWith(".sock"));
        }
    }

    /**
     * Starts the shutdown or handover that the test case requires, if any, and waits until it has
     * started.
     */
    private void startShutdown(WaitReason reason) throws Exception {
        if (reason == WaitReason.KEY_QUEUE_DURING_HANDOVER) {
            Service next = new Service(config);
            next.start();
            open.add(next::drain);
        }
        if (reason.startsShutdown()) {
            CompletableFuture<Void> started = new CompletableFuture<>();
            drain(service);
            while (!started.isDone()) {
                loop.post(
                        () -> {
                            if (service.notReadyReason() != null) {
                                started.complete(null);
                            }
                        });
                loop.awaitPendingTasks();
            }
        }
    }

    /**
     * The dispatcher has not yet read the end of the client's connection when the attempt is due.
     */
    @Test(dataProvider = "disconnects", timeOut = TIMEOUT_MILLIS)
    public void startsNoAttemptForDisconnectedClient(WaitReason reason, Disconnect disconnect)
            throws Exception {
        Set<SocketAddress> addresses = Collections.newSetFromMap(new LinkedHashMap<>());
        serve(reason, addresses);
        fillConnectionLimit(reason);
        Socket first = connect();
        exchange(first, HEALTH_CHECK);
        if (reason.isKeyQueue()) {
            send(first, jobRequestWithKey(11));
            workers.nextFirstLine();
        }
        Socket client =
                reason.isEventLoop()
                        ? disconnectWhileEventLoopIsBusy(reason, disconnect)
                        : disconnectWhileRequestWaits(reason, disconnect, addresses, first);
        if (disconnect == Disconnect.NONE) {
            assertEquals(workers.nextFirstLine(), "POST /job/x HTTP/1.1");
            client.close();
            loop.releaseAll();
        } else {
            assertNoAttemptFollows(reason);
        }
    }

    private void fillConnectionLimit(WaitReason reason) throws IOException {
        for (int i = 1; reason == WaitReason.CONNECTION_LIMIT && i < MAX_CLIENT_CONNECTIONS; i++) {
            exchange(connect(), HEALTH_CHECK);
        }
    }

    private Socket disconnectWhileEventLoopIsBusy(WaitReason reason, Disconnect disconnect)
            throws Exception {
        Socket client =
                reason == WaitReason.CONNECTION_LIMIT ? null : connectWithHeldInput(disconnect);
        CountDownLatch resume = new CountDownLatch(1);
        loop.post(
                () -> {
                    try {
                        resume.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        client = reason == WaitReason.CONNECTION_LIMIT ? connect() : client;
        send(client, jobRequestWithKey(12));
        disconnect(client, disconnect);
        resume.countDown();
        return client;
    }

    /**
     * Sends a request, disconnects its client, and triggers the event that the request waits for.
     */
    private Socket disconnectWhileRequestWaits(
            WaitReason reason, Disconnect disconnect, Set<SocketAddress> addresses, Socket first)
            throws Exception {
        Socket client = connectWithHeldInput(disconnect);
        if (reason.isWorkerConnection()) {
            loop.holdConnects(addresses);
        }
        send(client, jobRequestWithKey(12));
        awaitOpenRequests(reason.isKeyQueue() ? 2 : 1);
        if (reason.isFurtherAttempt()) {
            workers.nextFirstLine();
        }
        startShutdown(reason);
        disconnect(client, disconnect);
        if (reason.isWorkerConnection()) {
            loop.connecting.take();
            // Only connects are released, so the client's last bytes stay unread.
            loop.releaseConnects();
        } else if (reason.isKeyQueue()) {
            workers.sendUnsolicited(
                    (STARTED + progressLine("done") + "0\r\n\r\n").replace("ID", "11"));
            assertEquals(statusOf(readMessage(first.getInputStream())), 200);
        } else if (reason == WaitReason.RETRY) {
            workers.lastConnection.close();
        } else {
            discovery.nextFirstLine();
            discovery.sendUnsolicited(
                    okResponse(
                            REMOVAL.replace("PORT", "" + workers.lastConnection.getLocalPort())));
        }
        return client;
    }

    private void assertNoAttemptFollows(WaitReason reason) throws Exception {
        int earlierAttempts = reason.isKeyQueue() || reason.isFurtherAttempt() ? 1 : 0;
        // An unread request counts as not accepted, any other as one whose client disconnected.
        long clientsGone = reason.isEventLoop() ? 0 : 1;
        Counters counters = service.counters();
        while (counters.value(Counters.Counter.CLIENTS_GONE) < clientsGone
                || counters.value(Counters.Counter.REQUESTS_NOT_ACCEPTED) < 1 - clientsGone) {
            assertEquals(
                    workers.messages.get(),
                    earlierAttempts,
                    "attempt started for a disconnected client");
            LockSupport.parkNanos(1_000_000);
        }
        awaitOpenRequests(0);
        assertEquals(
                counters.value(Counters.Counter.ATTEMPTS_WRITTEN),
                earlierAttempts,
                "attempt written for a disconnected client");
        assertEquals(workers.messages.get(), earlierAttempts);
    }
}
