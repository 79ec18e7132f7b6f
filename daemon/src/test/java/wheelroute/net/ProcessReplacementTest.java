package wheelroute.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static wheelroute.net.HttpMessages.ACCEPTED;
import static wheelroute.net.HttpMessages.SUCCESS;
import static wheelroute.net.HttpMessages.endpointList;
import static wheelroute.net.HttpMessages.exchange;
import static wheelroute.net.HttpMessages.jobRequest;
import static wheelroute.net.HttpMessages.readMessage;
import static wheelroute.net.HttpMessages.send;
import static wheelroute.net.HttpMessages.statusOf;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.Channels;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.BackgroundTask;
import wheelroute.config.Config;
import wheelroute.decision.Idempotency;
import wheelroute.net.lifecycle.Service;

/** One process of a dispatcher replaces another, with real sockets and one handover directory. */
public class ProcessReplacementTest extends ServiceHarness {
    private static final int CLIENT_COUNT = 24;

    /** The first id that has two digits in base 36. */
    private static final int FIRST_TWO_DIGIT_ID = 36;

    private int lastId;
    private int maxDescriptors;

    @BeforeMethod
    public void createHandoverDirectory() throws IOException {
        maxDescriptors = 1024;
        hasAdminServer = true;
        handoverDirectory = Files.createTempDirectory("handover");
    }

    /** Starts another process of the harness's dispatcher on the same address for clients. */
    private Service startSuccessor(Path directory) throws Exception {
        Service next = newProcess(directory, port);
        next.start();
        open.add(next::drain);
        return next;
    }

    private Service newProcess(Path directory, int clientPort) {
        InetSocketAddress shared =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), clientPort);
        return new Service(
                new Config(
                        "n0",
                        shared,
                        config.discovery(),
                        config.admin(),
                        directory,
                        maxDescriptors,
                        Double.NaN,
                        config.cachedEndpoints(),
                        config.settings(),
                        0.5,
                        10,
                        maxTimeoutSeconds,
                        false,
                        null));
    }

    /**
     * Replaces the harness's process, which listens on a port that the system chose, with one that
     * is configured with this port.
     */
    private void serveOnFixedPort(Idempotency idempotency, String... answers) throws Exception {
        Path directory = handoverDirectory;
        handoverDirectory = null;
        serve(idempotency, answers);
        service.drain();
        service = newProcess(directory, port);
        service.start();
        handoverDirectory = directory;
        awaitSocketFile();
    }

    /** Returns a key that distinguishes a file from a later one with the same name. */
    private static Object fileKey(Path file) throws IOException {
        return Files.readAttributes(file, BasicFileAttributes.class).fileKey();
    }

    /** Returns a request whose id has two characters, as the stub servers expect. */
    private static String jobRequestNumber(int id) {
        return jobRequest(10)
                .replace("77", Integer.toString(FIRST_TWO_DIGIT_ID + id, Character.MAX_RADIX));
    }

    private String nextJobRequest() {
        return jobRequestNumber(++lastId);
    }

    /** Clients that are idle, queued or in the middle of a message are all served. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void servesAllConnectedClientsDuringReplacement() throws Exception {
        serveOnFixedPort(
                Idempotency.IDEMPOTENT,
                Collections.nCopies(5 * CLIENT_COUNT, SUCCESS).toArray(new String[0]));
        List<Socket> idle = new ArrayList<>();
        List<Socket> halfSent = new ArrayList<>();
        List<Socket> kept = new ArrayList<>();
        List<String> messages = new ArrayList<>();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            idle.add(connect());
            halfSent.add(connect());
            messages.add(nextJobRequest());
            send(halfSent.get(i), messages.get(i).substring(0, 20));
            kept.add(connect());
            assertEquals(statusOf(exchange(kept.get(i), nextJobRequest())), 200);
        }
        Service next = startSuccessor(handoverDirectory);
        assertEquals(adminCommand(next, "READY\n"), "ok ready\n");
        List<Socket> queued = connectClients(CLIENT_COUNT);
        CompletableFuture<Void> ended = drain(service);
        for (int i = 0; i < CLIENT_COUNT; i++) {
            send(halfSent.get(i), messages.get(i).substring(20));
            String answer = readMessage(halfSent.get(i).getInputStream());
            assertEquals(statusOf(answer), 200, i + answer);
            assertEquals(statusOf(exchange(idle.get(i), nextJobRequest())), 200);
            assertEquals(statusOf(exchange(queued.get(i), nextJobRequest())), 200);
        }
        for (Socket socket : kept) {
            // The connection is closed between two messages with nothing unread, so its client
            // may reconnect.
            assertEquals(socket.getInputStream().read(), -1);
        }
        for (Socket socket : queued) {
            socket.close();
        }
        ended.get();
        service = null;
        assertEquals(statusOf(exchange(connect(), nextJobRequest())), 200);
        assertEquals(adminCommand(next, "READY\n"), "ok ready\n");
    }

    private List<Socket> connectClients(int count) throws IOException {
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(connect());
        }
        return clients;
    }

    /** Connections are evicted when the successor connects, not when further clients connect. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void halvesConnectionLimitWhenSuccessorConnects() throws Exception {
        maxDescriptors = 72;
        serveOnFixedPort(
                Idempotency.IDEMPOTENT, Collections.nCopies(10, SUCCESS).toArray(new String[0]));
        List<Socket> kept = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            kept.add(connect());
            assertEquals(statusOf(exchange(kept.get(i), nextJobRequest())), 200);
        }
        startSuccessor(handoverDirectory);
        for (int i = 0; i < 5; i++) {
            assertEquals(kept.get(i).getInputStream().read(), -1);
        }
        assertEquals(statusOf(exchange(kept.get(8), nextJobRequest())), 200);
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void answersOpenRequestsAtOldProcessAndRejectsTheirIdsAtBoth() throws Exception {
        serveOnFixedPort(Idempotency.NON_IDEMPOTENT, ACCEPTED, SUCCESS, SUCCESS, SUCCESS, SUCCESS);
        Socket waiting = connect();
        send(waiting, jobRequestNumber(0));
        workers.nextFirstLine();
        Service next = startSuccessor(handoverDirectory);
        CompletableFuture<Void> ended = drain(service);
        Socket other = connect();
        while (adminStats(next).get("completed.job") == 0) {
            // The connection reaches either process, and both know the open id.
            int status = statusOf(exchange(other, jobRequestNumber(0)));
            assertEquals(status, 409);
            other = connect();
            statusOf(exchange(other, jobRequestNumber(1)));
            other = connect();
        }
        assertEquals(statusOf(readMessage(waiting.getInputStream())), 502);
        ended.get();
        service = null;
        workers.received.clear();
        assertEquals(statusOf(exchange(connect(), jobRequestNumber(0))), 502, "it may have run");
        assertEquals(statusOf(exchange(connect(), jobRequestNumber(2))), 200);
        assertEquals(workers.received.size(), 1);
    }

    /**
     * Each pair of processes counts as one dispatcher, and the successor is alone once the other
     * has ended.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void handsOverRepeatedly() throws Exception {
        serveOnFixedPort(
                Idempotency.IDEMPOTENT,
                Collections.nCopies(CLIENT_COUNT, SUCCESS).toArray(new String[0]));
        for (int i = 0; i < 4; i++) {
            Object key = fileKey(awaitSocketFile());
            Service next = newProcess(handoverDirectory, port);
            next.start();
            while (fileKey(awaitSocketFile()).equals(key)) {
                Thread.onSpinWait();
            }
            assertEquals(adminCommand(service, "READY\n"), "ok ready\n");
            long before = System.nanoTime();
            drain(service).get();
            // With nothing left to answer, a process ends at once if its successor serves.
            assertTrue((System.nanoTime() - before) / 1e9 < 0.4);
            service = next;
            assertEquals(statusOf(exchange(connect(), jobRequestNumber(i))), 200);
        }
        service.drain();
        service = null;
        try (var files = Files.list(handoverDirectory)) {
            assertEquals(files.count(), 0, "files left in the handover directory");
        }
    }

    /** Another dispatcher's socket has the path that the predecessor's would have. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void ignoresStateOfAnotherDispatcher() throws Exception {
        serveOnFixedPort(Idempotency.IDEMPOTENT);
        Path file = awaitSocketFile();
        service.drain();
        try (ServerSocketChannel other = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            other.bind(UnixDomainSocketAddress.of(file));
            BackgroundTask.start(
                    () -> {
                        SocketChannel successor = other.accept();
                        open.add(successor);
                        successor.write(
                                StandardCharsets.UTF_8.encode(
                                        "wheelroute-handover n1 /127.0.0.1:1\nlist "
                                                + endpointList(workers.listen())
                                                        .replace(":5,", ":99,")
                                                + "\nopen 77\ntold\n"));
                    });
            service = newProcess(handoverDirectory, port);
            service.start();
            assertEquals(metric("workers_listed"), 2);
        }
    }

    /**
     * Another successor can still find the old process, and the processes do not answer each other
     * endlessly.
     */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void keepsServingWhenSuccessorFailsBeforeServing() throws Exception {
        serveOnFixedPort(Idempotency.IDEMPOTENT, SUCCESS, SUCCESS, SUCCESS);
        Path file = awaitSocketFile();
        try (SocketChannel failing = SocketChannel.open(UnixDomainSocketAddress.of(file))) {
            failing.write(
                    StandardCharsets.UTF_8.encode(
                            "wheelroute-handover\nbeyond 0\nbeyond 1\nodd\n"));
            BufferedReader in =
                    new BufferedReader(Channels.newReader(failing, StandardCharsets.UTF_8));
            List<String> messageNames = new ArrayList<>();
            while (!messageNames.contains("told")) {
                messageNames.add(in.readLine().split(" ")[0]);
            }
            assertEquals(messageNames, List.of("wheelroute-handover", "list", "learned", "told"));
            // The admin response follows everything that the process sends in reply to these
            // messages.
            assertEquals(adminCommand(service, "READY\n"), "ok ready\n");
            failing.write(StandardCharsets.UTF_8.encode("serving\n"));
            drain(service).get();
            assertEquals(in.readLine(), null);
            service = newProcess(handoverDirectory, port);
            service.start();
        }
        try (SocketChannel failing =
                SocketChannel.open(UnixDomainSocketAddress.of(awaitSocketFile()))) {
            failing.write(StandardCharsets.UTF_8.encode("wheelroute-handover\n"));
        }
        assertEquals(statusOf(exchange(connect(), jobRequestNumber(1))), 200);
        Service next = startSuccessor(handoverDirectory);
        drain(service).get();
        service = null;
        assertEquals(statusOf(exchange(connect(), jobRequestNumber(2))), 200);
        assertEquals(adminCommand(next, "READY\n"), "ok ready\n");
    }

    /** Waits for the socket file, which is created a moment after the process begins to serve. */
    private Path awaitSocketFile() throws IOException {
        while (true) {
            try (var files = Files.list(handoverDirectory)) {
                List<Path> all = files.toList();
                if (all.size() == 1 && all.get(0).toString().endsWith(".sock")) {
                    return all.get(0);
                }
            }
        }
    }

    @DataProvider
    public Object[][] directoryContents() {
        return new Object[][] {
            {"nothing"},
            {"a plain file"},
            {"a dead socket"},
            {"another protocol"},
            {"an unresponsive process"},
            {"no directory"},
            {"a path too long"}
        };
    }

    @Test(dataProvider = "directoryContents", timeOut = TIMEOUT_MILLIS)
    public void startsWhateverLiesInHandoverDirectory(String contents) throws Exception {
        serveOnFixedPort(Idempotency.IDEMPOTENT, SUCCESS, SUCCESS);
        Path file = awaitSocketFile();
        service.drain();
        assertFalse(Files.exists(file));
        Path directory = handoverDirectory;
        switch (contents) {
            case "a plain file" -> Files.writeString(file, "12345\n");
            case "a dead socket" -> listen(file).close();
            case "another protocol" -> {
                ServerSocketChannel otherProtocol = listen(file);
                BackgroundTask.start(
                        () ->
                                otherProtocol
                                        .accept()
                                        .write(StandardCharsets.UTF_8.encode("220 hello\n")));
            }
            case "an unresponsive process" -> listen(file);
            case "no directory" -> directory = handoverDirectory.resolve("none");
            case "a path too long" -> directory = handoverDirectory.resolve("x".repeat(200));
            default -> assertEquals(contents, "nothing");
        }
        service = newProcess(directory, port);
        service.start();
        assertEquals(adminCommand(service, "READY\n"), "ok ready\n");
        assertEquals(statusOf(exchange(connect(), jobRequestNumber(1))), 200);
        // From here on a successor finds this process if its socket could be created.
        Service next = startSuccessor(directory);
        assertEquals(adminCommand(next, "READY\n"), "ok ready\n");
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void leavesNoFileWhenSocketPathIsTaken() throws Exception {
        serveOnFixedPort(Idempotency.IDEMPOTENT);
        Path file = awaitSocketFile();
        service.drain();
        Files.createDirectory(file);
        service = newProcess(handoverDirectory, port);
        service.start();
        // Draining takes longer than the delay after which the socket is created.
        service.drain();
        service = null;
        try (var files = Files.list(handoverDirectory)) {
            assertEquals(files.toList(), List.of(file));
        }
    }

    private ServerSocketChannel listen(Path file) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        open.add(server);
        return server.bind(UnixDomainSocketAddress.of(file));
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void restrictsSocketFileToOwner() throws Exception {
        serveOnFixedPort(Idempotency.IDEMPOTENT);
        String permissions =
                PosixFilePermissions.toString(Files.getPosixFilePermissions(awaitSocketFile()));
        assertEquals(permissions, "rw-------");
        assertTrue(
                awaitSocketFile()
                        .getFileName()
                        .toString()
                        .matches("wheelroute-[0-9a-f]{8}\\.sock"));
    }
}
