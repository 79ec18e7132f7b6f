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
 * A client disconnects while its request waits for an attempt: no attempt is started for it,
 * whatever the request waits for and however the connection ends.
 */
public class DisconnectBeforeAttemptTest extends ServiceHarness {
    /** Far more than one read takes, and less than is read ahead of a response. */
    private static final String INPUT_LONGER_THAN_ONE_READ = "x".repeat(20_000);

    private static final int WORKER_COUNT = 3;

    /** Descriptors of the process, enough for {@link #CLIENT_CONNECTIONS}. */
    private static final int FEW_DESCRIPTORS = 72;

    private static final int CLIENT_CONNECTIONS = 16;

    private static final String REMOVAL =
            "{\"version\":6,\"full\":false,\"servers\":[{\"id\":\"wPORT\","
                    + "\"addr\":\"127.0.0.1:PORT\",\"zone\":\"here\",\"kind\":\"m\",\"cell\":1,"
                    + "\"state\":\"gone\"}]}";

    /** How the client disconnects. */
    private enum Disconnect {
        /**
         * It stays connected: the attempt is started, which shows that the other cases test
         * something.
         */
        NONE,
        /** FIN. */
        CLOSE_CONNECTION,
        /** RST. */
        RESET,
        /** RST, because the client closes its socket with an unread response. */
        RESET_OVER_UNREAD_RESPONSE,
        /** FIN; the client still reads. */
        HALF_CLOSE,
        /** FIN behind more bytes than one read takes. */
        HALF_CLOSE_BEHIND_INPUT,
        /** RST behind the same. */
        RESET_BEHIND_INPUT
    }

    /** What the request waits for. */
    private enum WaitReason {
        /** To be accepted by the event loop, which is busy, while all connections are in use. */
        CONNECTION_LIMIT,
        /** To be read by the event loop, which is busy. */
        EVENT_LOOP,
        /** An earlier request with the same key. */
        KEY_QUEUE,
        KEY_QUEUE_WHILE_DRAINING,
        KEY_QUEUE_DURING_HANDOVER,
        /** A new connection to a worker. */
        WORKER_CONNECTION,
        WORKER_CONNECTION_WHILE_DRAINING,
        /** A retry after the first attempt failed. */
        RETRY,
        /** A hedged request, as the first worker is removed from the list. */
        HEDGED_REQUEST;

        boolean isKeyQueue() {
            return name().startsWith("KEY_QUEUE");
        }

        boolean isWorkerConnection() {
            return name().startsWith("WORKER_CONNECTION");
        }

        /** The event loop has not read the request when its client disconnects. */
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
     * Connects a client that has exchanged one message, and holds back from the event loop whatever
     * follows.
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
        boolean again = reason == WaitReason.RETRY || reason == WaitReason.HEDGED_REQUEST;
        serve(
                again ? Idempotency.IDEMPOTENT : Idempotency.NON_IDEMPOTENT,
                reason == WaitReason.CONNECTION_LIMIT ? FEW_DESCRIPTORS : 1024,
                endpointList(addresses.toArray(new InetSocketAddress[0])),
                2);
        if (hasAdminServer) {
            restartOnSamePort();
        }
    }

    /** Restarts the service so that another process can listen on its port as well. */
    private void restartOnSamePort() throws Exception {
        service.drain();
        handoverDirectory = Files.createTempDirectory("meet");
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
     * Starts the shutdown or handover that this case waits through, and waits until it has started.
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

    /** The end of the connection is still unread when the attempt would be started. */
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
        for (int i = 1; reason == WaitReason.CONNECTION_LIMIT && i < CLIENT_CONNECTIONS; i++) {
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
     * Sends a request, disconnects its client, and lets the event happen that the request waits
     * for.
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
            // Only connects are released: the client's last bytes are still unread.
            loop.releaseConnects();
        } else if (reason.isKeyQueue()) {
            workers.sendUnsolicited(
                    (STARTED + progressLine("done") + "0\r\n\r\n").replace("ID", "11"));
            assertEquals(statusOf(readMessage(first.getInputStream())), 200);
        } else if (reason == WaitReason.RETRY) {
            workers.last.close();
        } else {
            discovery.nextFirstLine();
            discovery.sendUnsolicited(
                    okResponse(REMOVAL.replace("PORT", "" + workers.last.getLocalPort())));
        }
        return client;
    }

    private void assertNoAttemptFollows(WaitReason reason) throws Exception {
        int earlierAttempts = reason.isKeyQueue() || reason.isFurtherAttempt() ? 1 : 0;
        // A request that had not been read is not accepted; any other has a client that is gone.
        long clientsGone = reason.isEventLoop() ? 0 : 1;
        Counters counters = service.counters();
        while (counters.value(Counters.Counter.CLIENTS_GONE) < clientsGone
                || counters.value(Counters.Counter.REQUESTS_NOT_ACCEPTED) < 1 - clientsGone) {
            assertEquals(
                    workers.messages.get(), earlierAttempts, "attempt for a disconnected client");
            LockSupport.parkNanos(1_000_000);
        }
        awaitOpenRequests(0);
        assertEquals(
                counters.value(Counters.Counter.ATTEMPTS_WRITTEN),
                earlierAttempts,
                "written for a disconnected client");
        assertEquals(workers.messages.get(), earlierAttempts);
    }
}
