package wheelroute.net;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
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
 * A client leaves while its submission waits for an attempt, and none begins for it, by whatever
 * way.
 */
public class LeaversTest extends ServiceHarness {
    /** Far over what one look reads, and under what is read ahead of a turn. */
    private static final String MORE = "x".repeat(20_000);

    private static final int WORKERS = 3;

    /** Descriptors, for 16 clients. */
    private static final int FEW = 72;

    private static final int PLACES = 16;

    private static final String GONE =
            "{\"version\":6,\"full\":false,\"servers\":[{\"id\":\"wPORT\","
                    + "\"addr\":\"127.0.0.1:PORT\",\"zone\":\"here\",\"kind\":\"m\",\"cell\":1,"
                    + "\"state\":\"gone\"}]}";

    /** How its client leaves; none of it is heard until something looks. */
    private enum Leaving {
        /** It does not: then there is an attempt, as there would be for the others. */
        STAYS,
        /** FIN. */
        CLOSES,
        /** RST. */
        RESETS,
        /** RST, as the system answers bytes that nobody will read. */
        CLOSES_OVER_UNREAD,
        /** FIN for its sending only. */
        HALF_CLOSES,
        /** FIN behind more bytes than one look reads. */
        HALF_CLOSES_AHEAD,
        /** RST behind the same. */
        RESETS_AHEAD
    }

    /** What its submission waits for. */
    private enum Wait {
        /** The loop's thread, which has not accepted it, and a place, as all are taken. */
        PLACE,
        /** Its message lies unread, in a turn of the loop that takes long. */
        TURN,
        /** Its turn in its key's line. */
        LINE,
        LINE_IN_A_DRAIN,
        LINE_IN_A_HANDOVER,
        /** A connection to a worker that comes up. */
        CONNECTION,
        CONNECTION_IN_A_DRAIN,
        /** An attempt after the first has broken off. */
        SECOND,
        /** A copy of what is out at a worker that the list calls gone. */
        COPY
    }

    @DataProvider
    public Object[][] leavers() {
        List<Object[]> rows = new ArrayList<>();
        for (Wait wait : Wait.values()) {
            for (Leaving leaving : Leaving.values()) {
                if (wait != Wait.PLACE || leaving != Leaving.CLOSES_OVER_UNREAD) {
                    // It was told nothing yet that it could leave unread.
                    rows.add(new Object[] {wait, leaving});
                }
            }
        }
        return rows.toArray(new Object[0][]);
    }

    private static String job(int id) {
        return post(10).replace("77", Integer.toString(id))
                .replace("X-Cost", "X-Route-Key: a\r\nX-Cost");
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private int openSubmissions() throws Exception {
        CompletableFuture<Integer> open = new CompletableFuture<>();
        loop.post(() -> open.complete(service.gauges().open()));
        return open.get();
    }

    private void awaitOpen(int count) throws Exception {
        while (openSubmissions() != count) {
            LockSupport.parkNanos(1_000_000);
        }
    }

    /** One more message is heard on it, and nothing that comes behind that. */
    private Socket leaver(Leaving leaving) throws Exception {
        Socket client = connect();
        send(client, HEALTH);
        if (leaving != Leaving.CLOSES_OVER_UNREAD) {
            read(client.getInputStream());
        } else {
            while (client.getInputStream().available() == 0) {
                LockSupport.parkNanos(1_000_000);
            }
        }
        loop.settle();
        loop.holdReads(client.getLocalPort());
        return client;
    }

    private static void leave(Socket client, Leaving leaving) throws IOException {
        if (leaving.name().endsWith("AHEAD")) {
            send(client, MORE);
        }
        switch (leaving) {
            case STAYS -> {}
            case HALF_CLOSES, HALF_CLOSES_AHEAD -> client.shutdownOutput();
            case RESETS, RESETS_AHEAD -> {
                client.setSoLinger(true, 0);
                client.close();
            }
            default -> client.close();
        }
    }

    private void serve(Wait wait, Set<SocketAddress> addresses) throws Exception {
        workers.responses.addAll(List.of(ACCEPTED, ACCEPTED, ACCEPTED, ACCEPTED));
        for (int i = 0; i < WORKERS; i++) {
            addresses.add(workers.listen());
        }
        maxTimeoutSeconds = 60;
        inTurn = wait.name().startsWith("LINE");
        hasAdminServer = wait == Wait.LINE_IN_A_HANDOVER;
        mayHedge = wait == Wait.COPY;
        boolean again = wait == Wait.SECOND || wait == Wait.COPY;
        serve(
                again ? Idempotency.IDEMPOTENT : Idempotency.NON_IDEMPOTENT,
                wait == Wait.PLACE ? FEW : 1024,
                known(addresses.toArray(new InetSocketAddress[0])),
                2);
        if (hasAdminServer) {
            // On the port that it got, so that another process can listen there as well.
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
    }

    private static boolean hasSocket(Path meeting) throws IOException {
        try (Stream<Path> files = Files.list(meeting)) {
            return files.anyMatch(file -> file.toString().endsWith(".sock"));
        }
    }

    private void end(Wait wait) throws Exception {
        if (wait == Wait.LINE_IN_A_HANDOVER) {
            Service next = new Service(config);
            next.start();
            open.add(next::drain);
        }
        if (wait.name().contains("_IN_A_")) {
            CompletableFuture<Void> begun = new CompletableFuture<>();
            drain(service);
            while (!begun.isDone()) {
                loop.post(
                        () -> {
                            if (service.notReadyReason() != null) {
                                begun.complete(null);
                            }
                        });
                loop.settle();
            }
        }
    }

    /**
     * No attempt begins for a client that left, whose end lies unread as its attempt would begin.
     */
    @Test(dataProvider = "leavers", timeOut = TIMEOUT_MILLIS)
    public void noAttemptBeginsForWhoLeft(Wait wait, Leaving leaving) throws Exception {
        Set<SocketAddress> addresses = Collections.newSetFromMap(new LinkedHashMap<>());
        serve(wait, addresses);
        boolean inLine = wait.name().startsWith("LINE");
        int before = inLine || wait == Wait.SECOND || wait == Wait.COPY ? 1 : 0;
        for (int i = 1; wait == Wait.PLACE && i < PLACES; i++) {
            ask(connect(), HEALTH);
        }
        Socket first = connect();
        ask(first, HEALTH);
        if (inLine) {
            send(first, job(11));
            workers.next();
        }
        Socket client = wait == Wait.PLACE ? null : leaver(leaving);
        if (wait == Wait.TURN || wait == Wait.PLACE) {
            CountDownLatch goesOn = new CountDownLatch(1);
            loop.post(
                    () -> {
                        try {
                            goesOn.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    });
            client = wait == Wait.PLACE ? connect() : client;
            send(client, job(12));
            leave(client, leaving);
            goesOn.countDown();
        } else {
            if (wait.name().startsWith("CONNECTION")) {
                loop.holdConnects(addresses);
            }
            send(client, job(12));
            awaitOpen(inLine ? 2 : 1);
            if (before > 0 && !inLine) {
                workers.next();
            }
            end(wait);
            leave(client, leaving);
            if (wait.name().startsWith("CONNECTION")) {
                loop.connecting.take();
                // Only connections go on: what its client said last is still unheard.
                loop.releaseConnects();
            } else if (inLine) {
                workers.say((STARTED + line("done") + "0\r\n\r\n").replace("ID", "11"));
                assertEquals(status(read(first.getInputStream())), 200);
            } else if (wait == Wait.SECOND) {
                workers.last.close();
            } else {
                discovery.next();
                discovery.say(http(GONE.replace("PORT", "" + workers.last.getLocalPort())));
            }
        }
        if (leaving == Leaving.STAYS) {
            assertEquals(workers.next(), "POST /job/x HTTP/1.1");
            client.close();
            loop.releaseAll();
        } else {
            long expected = wait == Wait.TURN || wait == Wait.PLACE ? 0 : 1;
            while (service.counters().value(Counters.Counter.CLIENTS_GONE) < expected
                    || service.counters().value(Counters.Counter.REQUESTS_NOT_ACCEPTED)
                            < 1 - expected) {
                assertEquals(workers.messages.get(), before, "an attempt for nobody");
                LockSupport.parkNanos(1_000_000);
            }
            awaitOpen(0);
            assertEquals(
                    service.counters().value(Counters.Counter.ATTEMPTS_WRITTEN),
                    before,
                    "written for nobody");
            assertEquals(workers.messages.get(), before);
        }
    }
}
