package wheelroute.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static wheelroute.net.HttpMessages.HEALTH_CHECK;
import static wheelroute.net.HttpMessages.endpointList;
import static wheelroute.net.HttpMessages.exchange;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.testng.annotations.AfterMethod;
import wheelroute.BackgroundTask;
import wheelroute.config.Config;
import wheelroute.decision.Idempotency;
import wheelroute.decision.PolicyHarness;
import wheelroute.decision.Settings;
import wheelroute.net.lifecycle.Service;
import wheelroute.net.loop.ControlledEventLoop;
import wheelroute.net.loop.ManualClock;
import wheelroute.net.memory.HeapBudget;
import wheelroute.net.metrics.Counters;
import wheelroute.net.workers.AttemptResult;

/** A dispatcher on loopback sockets, with stubs of clients, workers and discovery. */
public abstract class ServiceHarness {
    protected static final int TIMEOUT_MILLIS = 20_000;
    protected static final int MAX_CLIENT_CONNECTIONS = 500;
    private static final long POLL_NANOS = 1_000_000;

    /** Exceptions that the service has caught and logged; each fails the test that caused it. */
    private static final Queue<String> LOGGED_EXCEPTIONS = new ConcurrentLinkedQueue<>();

    private static final Logger LOGGER = Logger.getLogger("wheelroute.net");

    static {
        LOGGER.addHandler(
                new Handler() {
                    @Override
                    public void publish(LogRecord record) {
                        if (record.getLevel().intValue() >= Level.WARNING.intValue()
                                && record.getThrown() != null) {
                            LOGGED_EXCEPTIONS.add(record.getMessage() + ": " + record.getThrown());
                        }
                    }

                    @Override
                    public void flush() {
                        // Records are not buffered.
                    }

                    @Override
                    public void close() {
                        // The handler holds no resources.
                    }
                });
    }

    /** Whether the test causes the service to log an exception; reset after each test. */
    protected boolean expectsException;

    protected final List<AutoCloseable> open = new ArrayList<>();
    protected final StubServer workers = new StubServer(open);
    protected final StubServer discovery = new StubServer(open);
    protected double maxTimeoutSeconds = 2;
    protected double maxRetryAfterSeconds = 2;
    protected boolean hasAdminServer;
    protected boolean ordered;
    protected boolean mayHedge;
    protected boolean endpointsArePushed;
    protected ManualClock clock = new ManualClock();
    protected ControlledEventLoop loop;
    protected HeapBudget heapBudget = HeapBudget.ofProcess(MAX_CLIENT_CONNECTIONS);
    protected Path handoverDirectory;
    protected Config config;
    protected Service service;
    protected int port;

    /** Connection that {@link #awaitDiscoveryCalls} uses; null before its first use. */
    private Socket healthCheckConnection;

    protected void serve(Idempotency idempotency, int maxDescriptors, String cachedEndpoints)
            throws Exception {
        serve(idempotency, maxDescriptors, cachedEndpoints, 1);
    }

    protected void serve(
            Idempotency idempotency, int maxDescriptors, String cachedEndpoints, int dispatchers)
            throws Exception {
        PolicyHarness.SettingsFixture fixture = new PolicyHarness.SettingsFixture();
        fixture.dispatchers = dispatchers;
        fixture.idempotency = idempotency;
        fixture.watchesEndpoints = true;
        fixture.mayHedge = mayHedge;
        fixture.ordered = ordered;
        fixture.maxRetryAfterSeconds = maxRetryAfterSeconds;
        Settings settings = fixture.settings();
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        config =
                new Config(
                        "n0",
                        any,
                        discovery.listen(),
                        hasAdminServer ? any : null,
                        handoverDirectory,
                        maxDescriptors,
                        Double.NaN,
                        cachedEndpoints.getBytes(StandardCharsets.UTF_8),
                        settings,
                        0.5,
                        10,
                        maxTimeoutSeconds,
                        endpointsArePushed,
                        null);
        loop = new ControlledEventLoop(clock, 0.5);
        service = new Service(config, loop, heapBudget);
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
                config.maxMemoryBytes(),
                config.cachedEndpoints(),
                config.settings(),
                0.5,
                10,
                maxTimeoutSeconds,
                endpointsArePushed,
                null);
    }

    protected void serve(Idempotency idempotency, String... responses) throws Exception {
        workers.responses.addAll(List.of(responses));
        serve(idempotency, 1024, endpointList(workers.listen(), workers.listen()));
    }

    protected Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        open.add(socket);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    /** Exchanges one more message, and hides all later input of the client from the event loop. */
    protected void holdInputAfter(Socket client, String message) throws Exception {
        exchange(client, message);
        loop.awaitPendingTasks();
        loop.holdReads(client.getLocalPort());
    }

    /** Advances the stopped clock, and waits for all calls to discovery that this causes. */
    protected void advanceWithDiscovery(double seconds) throws Exception {
        loop.advance(seconds);
        awaitDiscoveryCalls();
    }

    /** Waits until discovery has answered all calls, and the service has read the responses. */
    protected void awaitDiscoveryCalls() throws Exception {
        if (healthCheckConnection == null) {
            healthCheckConnection = connect();
        }
        // A round trip takes several passes of the event loop, in which input that has arrived
        // is read and connections that are being established are used.
        exchange(healthCheckConnection, HEALTH_CHECK);
        loop.awaitPendingTasks();
        while (discovery.answered.get()
                != service.counters().value(Counters.Counter.DISCOVERY_CALLS)) {
            LockSupport.parkNanos(POLL_NANOS);
        }
        exchange(healthCheckConnection, HEALTH_CHECK);
        loop.awaitPendingTasks();
    }

    protected void awaitMetric(String name, long value) throws IOException {
        while (metric(name) != value) {
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    /** Waits until a health check reports that the service drains, and returns its response. */
    protected String awaitDraining() throws IOException {
        String health = "";
        while (!health.startsWith("HTTP/1.1 503")) {
            health = exchange(connect(), HEALTH_CHECK);
        }
        return health;
    }

    protected long metric(String name) throws IOException {
        String text = exchange(connect(), "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
        return metricValue(text, name);
    }

    protected Socket connectAdmin(Service target) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), target.adminPort());
        open.add(socket);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    /** Sends one command to the admin server of a process, and returns the response. */
    protected String adminCommand(Service target, String text) throws IOException {
        try (Socket socket = connectAdmin(target)) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    protected Map<String, Integer> adminStats(Service target) throws IOException {
        String text = adminCommand(target, "STATS\n");
        assertTrue(text.endsWith("\neof\n"), text);
        Map<String, Integer> metrics = new HashMap<>();
        for (String line : text.substring(0, text.length() - 4).split("\n")) {
            assertTrue(line.matches("app\\.[a-z_.]+:\\d+\\|[cg]"), line);
            metrics.put(
                    line.substring(4, line.indexOf(':')),
                    Integer.parseInt(line.substring(line.indexOf(':') + 1, line.indexOf('|'))));
        }
        return metrics;
    }

    /** Drains a service in the background; the result completes when the service has ended. */
    protected static CompletableFuture<Void> drain(Service target) {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        BackgroundTask.start(
                () -> {
                    target.drain();
                    ended.complete(null);
                });
        return ended;
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        for (AutoCloseable resource : new ArrayList<>(open)) {
            resource.close();
        }
        clock.resume();
        String metrics = null;
        if (service != null) {
            loop.releaseAll();
            service.drain();
            metrics = service.finalMetrics();
        }
        open.clear();
        // All state is reset before an assertion can fail, so that the next test is not
        // affected.
        List<String> exceptions = new ArrayList<>(LOGGED_EXCEPTIONS);
        LOGGED_EXCEPTIONS.clear();
        boolean expected = expectsException;
        expectsException = false;
        workers.reset();
        discovery.reset();
        service = null;
        healthCheckConnection = null;
        clock = new ManualClock();
        heapBudget = HeapBudget.ofProcess(MAX_CLIENT_CONNECTIONS);
        endpointsArePushed = false;
        maxTimeoutSeconds = 2;
        maxRetryAfterSeconds = 2;
        hasAdminServer = false;
        mayHedge = false;
        handoverDirectory = null;
        assertEquals(exceptions.isEmpty(), !expected, "exceptions logged: " + exceptions);
        if (metrics != null) {
            assertCountersConsistent(metrics);
        }
    }

    /** Checks that each accepted request was answered or abandoned once, and that none is open. */
    private static void assertCountersConsistent(String metrics) {
        long answered = metricValue(metrics, "clients_gone_total");
        for (String kind : List.of("fulfilled", "bounced", "scrapped")) {
            answered += metricValue(metrics, "answers_total{kind=\"" + kind + "\"}");
        }
        long accepted = metricValue(metrics, "submissions_taken_total");
        // Over the connection limit, or with too little time, a request is rejected without having
        // been accepted.
        assertTrue(
                answered >= accepted
                        && answered - accepted <= metricValue(metrics, "messages_not_taken_total"),
                metrics);
        assertEquals(metricValue(metrics, "submissions_open"), 0, metrics);
        assertEquals(metricValue(metrics, "submissions_pending"), 0, metrics);
        long endedAttempts = 0;
        for (AttemptResult end : AttemptResult.values()) {
            endedAttempts +=
                    metricValue(metrics, "launch_ends_total{end=\"" + end.metricLabel() + "\"}");
        }
        // Attempts at shutdown, or for a disconnected client, end without having been sent.
        assertTrue(endedAttempts >= metricValue(metrics, "launches_total"), metrics);
        assertTrue(
                endedAttempts - metricValue(metrics, "launches_total")
                        <= metricValue(metrics, "launch_ends_total{end=\"ended_unsent\"}"),
                metrics);
    }

    private static long metricValue(String text, String name) {
        int at = text.indexOf("\nwheelroute_" + name + " ") + name.length() + 13;
        return Long.parseLong(text.substring(at, text.indexOf('\n', at)));
    }
}
