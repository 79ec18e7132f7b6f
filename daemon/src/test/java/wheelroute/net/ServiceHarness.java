package wheelroute.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.AfterMethod;
import wheelroute.BackgroundTask;
import wheelroute.config.Config;
import wheelroute.decision.Idempotency;
import wheelroute.decision.PolicyHarness;
import wheelroute.decision.Settings;
import wheelroute.net.lifecycle.Service;
import wheelroute.net.loop.ControlledEventLoop;
import wheelroute.net.loop.ManualClock;
import wheelroute.net.workers.AttemptResult;

/** A dispatcher on loopback sockets, with stubs of clients, workers and discovery. */
public abstract class ServiceHarness {
    protected static final int TIMEOUT_MILLIS = 20_000;
    protected static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    protected static final String STARTED = line("started");
    protected static final String DONE = HEAD + STARTED + line("done") + "0\r\n\r\n";
    protected static final String REJECTED =
            "HTTP/1.1 503 X\r\n" + "X-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
    protected static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
    protected static final String BREAK = "";
    protected static final String BREAK_LATE = HEAD + STARTED;
    protected static final String ACCEPTED = HEAD;
    protected static final String SILENCE = null;
    private static final Pattern HOLD = Pattern.compile("hold_ms=(\\d+)");

    /** Exceptions that the service has caught and logged: none may go unnoticed by a test. */
    private static final Queue<String> FAULTS = new ConcurrentLinkedQueue<>();

    private static final Logger LOGGER = Logger.getLogger("wheelroute.net");

    static {
        LOGGER.addHandler(
                new Handler() {
                    @Override
                    public void publish(LogRecord record) {
                        if (record.getLevel().intValue() >= Level.WARNING.intValue()
                                && record.getThrown() != null) {
                            FAULTS.add(record.getMessage() + ": " + record.getThrown());
                        }
                    }

                    @Override
                    public void flush() {
                        // Nothing is held back.
                    }

                    @Override
                    public void close() {
                        // Nothing is open.
                    }
                });
    }

    /** The test makes the policy fail. */
    protected boolean expectsFaults;

    protected final List<AutoCloseable> open = new ArrayList<>();
    protected final Stub workers = new Stub();
    protected final Stub discovery = new Stub();
    protected double maxTimeoutSeconds = 2;
    protected boolean hasAdminServer;
    protected boolean inTurn;
    protected boolean mayHedge;
    protected boolean listIsPushed;
    protected ManualClock clock = new ManualClock();
    protected ControlledEventLoop loop;
    protected Path handoverDirectory;
    protected Config config;
    protected Service service;
    protected int port;

    /** A server that records each message, and responds to the nth with the nth response. */
    protected final class Stub {
        final BlockingQueue<String> received = new LinkedBlockingQueue<>();
        final BlockingQueue<Integer> closed = new LinkedBlockingQueue<>();
        final List<String> responses = new ArrayList<>();
        final AtomicInteger messages = new AtomicInteger();
        final AtomicInteger connections = new AtomicInteger();

        /** Makes the responses after those. */
        volatile Supplier<String> defaultResponse = () -> SILENCE;

        volatile Socket last;

        InetSocketAddress listen() throws IOException {
            return listen(0);
        }

        InetSocketAddress listen(int at) throws IOException {
            ServerSocket server = new ServerSocket();
            // A port that was closed before may be listened on again.
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), at), 50);
            open.add(server);
            start(
                    () -> {
                        while (true) {
                            Socket socket = server.accept();
                            open.add(socket);
                            int number = connections.incrementAndGet();
                            start(
                                    () -> {
                                        try (socket) {
                                            serve(socket);
                                        } finally {
                                            closed.add(number);
                                        }
                                    });
                        }
                    });
            return (InetSocketAddress) server.getLocalSocketAddress();
        }

        private void serve(Socket socket) throws IOException {
            while (true) {
                String message = read(socket.getInputStream());
                last = socket;
                int number = messages.getAndIncrement();
                received.add(message);
                String answer =
                        number < responses.size() ? responses.get(number) : defaultResponse.get();
                if (answer == SILENCE) {
                    continue;
                }
                String id = message.replaceAll("(?s).*X-Request-ID: (\\w+).*", "$1");
                socket.getOutputStream()
                        .write(answer.replace("ID", id).getBytes(StandardCharsets.UTF_8));
                if (answer.equals(BREAK) || answer.equals(BREAK_LATE)) {
                    return;
                }
            }
        }

        String next() throws InterruptedException {
            String message = received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            return message == null
                    ? "nothing came"
                    : held(message.substring(0, message.indexOf("\r\n")));
        }

        /** Sends something unasked on the connection of the last message. */
        void say(String text) throws IOException {
            last.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Replaces the hold of a watch, which has a jitter, if it is within 3 to 3.8 s. */
    protected static String held(String call) {
        Matcher hold = HOLD.matcher(call);
        boolean spread =
                hold.find()
                        && Integer.parseInt(hold.group(1)) >= 3000
                        && Integer.parseInt(hold.group(1)) < 3800;
        return spread ? hold.replaceFirst("hold_ms=HELD") : call;
    }

    protected static void start(BackgroundTask life) {
        BackgroundTask.start(life);
    }

    /** One message: its head, and as much body as that says. */
    protected static String read(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int length = 0;
        for (int left = -1; left != 0; left -= left > 0 ? 1 : 0) {
            int b = in.read();
            if (b < 0) {
                throw new EOFException("it ended after: " + out);
            }
            out.write(b);
            if (left < 0 && out.toString(StandardCharsets.UTF_8).endsWith("\r\n\r\n")) {
                String head = out.toString(StandardCharsets.UTF_8);
                int at = head.indexOf("Content-Length: ");
                length =
                        at < 0
                                ? 0
                                : Integer.parseInt(
                                        head.substring(at + 16, head.indexOf("\r\n", at)));
                left = length + 1;
            }
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    protected static String line(String state) {
        String line =
                "{\"id\":\"ID\",\"from\":\"w\",\"state\":\"" + state + "\",\"result\":\"fine\"}\n";
        // Ids in the cases have as many letters as the word that stands for them.
        return Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
    }

    protected static String known(InetSocketAddress... addresses) {
        StringBuilder out = new StringBuilder();
        for (InetSocketAddress address : addresses) {
            out.append(out.length() > 0 ? "," : "")
                    .append("{\"id\":\"w")
                    .append(address.getPort())
                    .append("\",\"addr\":\"127.0.0.1:")
                    .append(address.getPort())
                    .append("\",\"zone\":\"here\",\"kind\":\"m\",\"cell\":1,\"state\":\"ready\"}");
        }
        return "{\"version\":5,\"full\":true,\"servers\":[" + out + "]}";
    }

    protected void serve(Idempotency effect, int sockets, String known) throws Exception {
        serve(effect, sockets, known, 1);
    }

    protected void serve(Idempotency effect, int sockets, String known, int dispatchers)
            throws Exception {
        PolicyHarness.SettingsFixture given = new PolicyHarness.SettingsFixture();
        given.dispatchers = dispatchers;
        given.idempotency = effect;
        given.watchesEndpoints = true;
        given.mayHedge = mayHedge;
        given.ordered = inTurn;
        Settings settings = given.settings();
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        config =
                new Config(
                        "n0",
                        any,
                        discovery.listen(),
                        hasAdminServer ? any : null,
                        handoverDirectory,
                        sockets,
                        Double.NaN,
                        known.getBytes(StandardCharsets.UTF_8),
                        settings,
                        0.5,
                        10,
                        maxTimeoutSeconds,
                        listIsPushed,
                        null);
        loop = new ControlledEventLoop(clock, 0.5);
        service = new Service(config, loop);
        service.start();
        port = service.port();
    }

    protected Config config(InetSocketAddress otherDiscovery) {
        return new Config(
                "n0",
                config.listen(),
                otherDiscovery,
                config.admin(),
                null,
                config.maxDescriptors(),
                config.maxMemory(),
                config.cachedEndpoints(),
                config.settings(),
                0.5,
                10,
                maxTimeoutSeconds,
                listIsPushed,
                null);
    }

    protected void serve(Idempotency effect, String... answers) throws Exception {
        workers.responses.addAll(List.of(answers));
        serve(effect, 1024, known(workers.listen(), workers.listen()));
    }

    protected Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        open.add(socket);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    protected static String post(double timeout) {
        return "POST /job/x HTTP/1.1\r\nHost: a\r\nX-Request-ID: 77\r\nIdempotency-Key: k\r\n"
                + "X-Timeout: "
                + String.format(Locale.ROOT, "%.1f", timeout)
                + "\r\nX-Cost: 20000\r\nContent-Length: 2\r\n\r\nhi";
    }

    protected static String ask(Socket socket, String message) throws IOException {
        socket.getOutputStream().write(message.getBytes(StandardCharsets.UTF_8));
        return read(socket.getInputStream());
    }

    protected static String http(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Waits until health checks say that the service drains. */
    protected String awaitDraining() throws IOException {
        String health = "";
        while (!health.startsWith("HTTP/1.1 503")) {
            health = ask(connect(), HEALTH);
        }
        return health;
    }

    protected static int status(String answer) {
        return Integer.parseInt(answer.split(" ")[1]);
    }

    protected long metric(String name) throws IOException {
        String text = ask(connect(), "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
        return figure(text, name);
    }

    protected Socket connectAdmin(Service whom) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), whom.adminPort());
        open.add(socket);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    /** Sends one command to a process's administrative port, and returns the response. */
    protected String adminCommand(Service whom, String text) throws IOException {
        try (Socket socket = connectAdmin(whom)) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    protected Map<String, Integer> adminStats(Service whom) throws IOException {
        String text = adminCommand(whom, "STATS\n");
        assertTrue(text.endsWith("\neof\n"), text);
        Map<String, Integer> figures = new HashMap<>();
        for (String line : text.substring(0, text.length() - 4).split("\n")) {
            assertTrue(line.matches("app\\.[a-z_.]+:\\d+\\|[cg]"), line);
            figures.put(
                    line.substring(4, line.indexOf(':')),
                    Integer.parseInt(line.substring(line.indexOf(':') + 1, line.indexOf('|'))));
        }
        return figures;
    }

    /** Drains a service; completes when it has ended. */
    protected static CompletableFuture<Void> drain(Service whom) {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        start(
                () -> {
                    whom.drain();
                    ended.complete(null);
                });
        return ended;
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        for (AutoCloseable one : new ArrayList<>(open)) {
            one.close();
        }
        clock.resume();
        String figures = null;
        if (service != null) {
            loop.releaseAll();
            service.drain();
            figures = service.finalMetrics();
        }
        open.clear();
        // Before anything may fail: the next test begins anew.
        List<String> faults = new ArrayList<>(FAULTS);
        FAULTS.clear();
        boolean wanted = expectsFaults;
        expectsFaults = false;
        for (Stub stub : List.of(workers, discovery)) {
            stub.received.clear();
            stub.closed.clear();
            stub.responses.clear();
            stub.messages.set(0);
            stub.connections.set(0);
            stub.defaultResponse = () -> SILENCE;
        }
        service = null;
        clock = new ManualClock();
        listIsPushed = false;
        maxTimeoutSeconds = 2;
        hasAdminServer = false;
        mayHedge = false;
        handoverDirectory = null;
        assertEquals(faults.isEmpty(), !wanted, "failed inside: " + faults);
        if (figures != null) {
            assertBalanced(figures);
        }
    }

    /** Each accepted request was answered or abandoned, once, and none is open. */
    private static void assertBalanced(String figures) {
        long over = figure(figures, "clients_gone_total");
        for (String kind : List.of("fulfilled", "bounced", "scrapped")) {
            over += figure(figures, "answers_total{kind=\"" + kind + "\"}");
        }
        long taken = figure(figures, "submissions_taken_total");
        // A rejection for too many connections, or for too little time, is an answer without an
        // accepted request.
        assertTrue(
                over >= taken && over - taken <= figure(figures, "messages_not_taken_total"),
                figures);
        assertEquals(figure(figures, "submissions_open"), 0, figures);
        assertEquals(figure(figures, "submissions_pending"), 0, figures);
        long ends = 0;
        for (AttemptResult end : AttemptResult.values()) {
            ends += figure(figures, "launch_ends_total{end=\"" + end.metricLabel() + "\"}");
        }
        // Attempts at the end, or for a client that left, end without having been sent.
        assertTrue(ends >= figure(figures, "launches_total"), figures);
        assertTrue(
                ends - figure(figures, "launches_total")
                        <= figure(figures, "launch_ends_total{end=\"ended_unsent\"}"),
                figures);
    }

    private static long figure(String text, String name) {
        int at = text.indexOf("\nwheelroute_" + name + " ") + name.length() + 13;
        return Long.parseLong(text.substring(at, text.indexOf('\n', at)));
    }
}
