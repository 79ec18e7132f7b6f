package wheelroute.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static wheelroute.net.HttpMessages.HEALTH_CHECK;
import static wheelroute.net.HttpMessages.endpointList;
import static wheelroute.net.HttpMessages.exchange;
import static wheelroute.net.HttpMessages.okResponse;
import static wheelroute.net.HttpMessages.send;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.config.Config;
import wheelroute.decision.Idempotency;
import wheelroute.net.metrics.Counters;

/** Guards against an endpoint list that is never updated because each call takes long. */
public class SlowDiscoveryTest extends ServiceHarness {
    /** A change counts as known by then, whether or not it was received. */
    private static final double NOTIFICATION_LIMIT_SECONDS = 6;

    /** A change counts as known by then after a new address was configured. */
    private static final double RELOAD_LIMIT_SECONDS = 4;

    private static final double STEP_SECONDS = 0.1;
    private static final int CHANGES = 5;
    private static final double SECONDS_BETWEEN_CHANGES = 7.3;

    /** The most calls a second that a discovery gets which never responds. */
    private static final double MAX_CALLS_PER_SECOND = 0.45;

    private static final long POLL_NANOS = 100_000;

    /** The version of the first list, which has one worker; each later version has one more. */
    private static final int FIRST_VERSION = 5;

    private static final Pattern KNOWN_VERSION = Pattern.compile("from=(\\d+)&hold_ms=(\\d+)");

    private final Queue<Call> calls = new ConcurrentLinkedQueue<>();
    private final Queue<SplitResponse> splitResponses = new ConcurrentLinkedQueue<>();
    private final AtomicInteger version = new AtomicInteger();
    private Socket healthChecks;

    /** A call, which is in the queue of discovery at first, and is then held until a change. */
    private record Call(double queuedUntil, double heldUntil, int knownVersion) {
        boolean isDue(double now, int version) {
            return now >= queuedUntil && (now >= heldUntil || knownVersion < version);
        }
    }

    /** Makes a server the discovery whose calls wait in the queue for a fixed time. */
    private void answerAfter(StubServer server, double seconds) {
        server.defaultResponse =
                () -> {
                    Call call = queue(server.received.poll(), loop.now() + seconds);
                    while (!call.isDue(loop.now(), version.get())) {
                        LockSupport.parkNanos(POLL_NANOS);
                    }
                    return okResponse(call.knownVersion < version.get() ? list() : noChanges());
                };
    }

    private Call queue(String message, double queuedUntil) {
        Matcher known = KNOWN_VERSION.matcher(message);
        Call call =
                known.find()
                        ? new Call(
                                queuedUntil,
                                queuedUntil + Integer.parseInt(known.group(2)) / 1e3,
                                Integer.parseInt(known.group(1)))
                        : new Call(queuedUntil, queuedUntil, 0);
        calls.add(call);
        return call;
    }

    private String list() {
        InetSocketAddress[] addresses = new InetSocketAddress[workerCount()];
        for (int i = 0; i < addresses.length; i++) {
            addresses[i] = new InetSocketAddress(InetAddress.getLoopbackAddress(), 9 + i);
        }
        return endpointList(addresses).replace("\"version\":5", "\"version\":" + version);
    }

    private int workerCount() {
        return version.get() - FIRST_VERSION + 1;
    }

    private String noChanges() {
        return "{\"version\":" + version + ",\"full\":false,\"servers\":[]}";
    }

    /**
     * A response that is sent in parts, with a pause before each but the first.
     *
     * @param partsSent the parts that were sent, without the last one
     */
    private record SplitResponse(
            int parts, double pauseSeconds, double startedAt, AtomicInteger partsSent) {
        double partDueAt(int part) {
            return startedAt + part * pauseSeconds;
        }

        /** Whether all parts that are due have been sent, or are about to be sent as answers. */
        boolean isUpToDate(double now) {
            return partsSent.get() >= parts - 1 || partDueAt(partsSent.get()) > now;
        }

        boolean isComplete(double now) {
            return partDueAt(parts - 1) <= now;
        }
    }

    /** Makes discovery respond at once, but pause within each response. */
    private void answerInParts(int parts, double pauseSeconds) {
        discovery.defaultResponse =
                () -> {
                    Socket socket = discovery.lastConnection;
                    Call call = queue(discovery.received.poll(), loop.now());
                    while (!call.isDue(loop.now(), version.get())) {
                        LockSupport.parkNanos(POLL_NANOS);
                    }
                    String text =
                            okResponse(call.knownVersion < version.get() ? list() : noChanges());
                    SplitResponse response =
                            new SplitResponse(parts, pauseSeconds, loop.now(), new AtomicInteger());
                    splitResponses.add(response);
                    calls.remove(call);
                    int length = text.length() / parts;
                    for (int i = 0; i < parts - 1; i++) {
                        awaitTime(response.partDueAt(i));
                        sendPart(socket, text.substring(i * length, (i + 1) * length));
                        response.partsSent.incrementAndGet();
                    }
                    awaitTime(response.partDueAt(parts - 1));
                    return text.substring((parts - 1) * length);
                };
    }

    private void awaitTime(double time) {
        while (loop.now() < time) {
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private static void sendPart(Socket socket, String part) {
        try {
            send(socket, part);
        } catch (IOException e) {
            // The dispatcher has given up the call.
        }
    }

    /** Advances the clock, and waits until all parts of responses that are due have been sent. */
    private void stepWithSplitResponses() throws Exception {
        loop.advance(STEP_SECONDS);
        double now = loop.now();
        while (calls.stream().anyMatch(call -> call.isDue(now, version.get()))
                || splitResponses.stream().anyMatch(response -> !response.isUpToDate(now))
                || discovery.answered.get()
                        < splitResponses.stream().filter(r -> r.isComplete(now)).count()) {
            LockSupport.parkNanos(POLL_NANOS);
        }
        processInput();
    }

    /** Advances the clock, and waits until responses that are due then have been processed. */
    private void step(StubServer server) throws Exception {
        step(List.of(server));
    }

    private void step(List<StubServer> servers) throws Exception {
        loop.advance(STEP_SECONDS);
        while (servers.stream().mapToInt(server -> server.answered.get()).sum()
                < calls.stream().filter(call -> call.isDue(loop.now(), version.get())).count()) {
            LockSupport.parkNanos(POLL_NANOS);
        }
        processInput();
    }

    /**
     * Waits until responses have been read and the calls after them received: each round trip is a
     * pass of the event loop, of which this takes two.
     */
    private void processInput() throws Exception {
        for (int i = 0; i < 2; i++) {
            exchange(healthChecks, HEALTH_CHECK);
            loop.awaitPendingTasks();
        }
    }

    private void serveWithOneWorker() throws Exception {
        clock.stop();
        calls.clear();
        splitResponses.clear();
        version.set(FIRST_VERSION);
        serve(Idempotency.IDEMPOTENT, 1024, list());
        healthChecks = connect();
    }

    /** Returns how long it takes until the list of the current version has been received. */
    private double secondsUntilReceived(StubServer server) throws Exception {
        double startedAt = loop.now();
        while (metric("workers_listed") != workerCount()) {
            step(server);
            assertTrue(loop.now() - startedAt < 20, "the change was not received");
        }
        return loop.now() - startedAt;
    }

    @DataProvider
    public Object[][] secondsPerCall() {
        // Sites let a call wait for 3 s at most.
        return new Object[][] {{0.5}, {1.0}, {1.3}, {1.9}, {2.3}, {2.4}, {2.6}, {2.9}, {3.0}};
    }

    @Test(dataProvider = "secondsPerCall", timeOut = 6 * TIMEOUT_MILLIS)
    public void receivesChangesInTimeHoweverLongCallsWait(double seconds) throws Exception {
        answerAfter(discovery, seconds);
        serveWithOneWorker();
        double startedAt = loop.now();
        for (int i = 1; i <= CHANGES; i++) {
            for (double due = startedAt + i * SECONDS_BETWEEN_CHANGES; loop.now() < due; ) {
                step(discovery);
            }
            version.incrementAndGet();
            double waited = secondsUntilReceived(discovery);
            assertTrue(
                    waited <= NOTIFICATION_LIMIT_SECONDS,
                    "change " + i + " was received after " + waited + " s");
        }
    }

    /** Slow calls must not be answered by more calls, which would make discovery slower. */
    @Test(dataProvider = "secondsPerCall", timeOut = 6 * TIMEOUT_MILLIS)
    public void calledNoMoreOftenThanDiscoveryThatNeverResponds(double seconds) throws Exception {
        answerAfter(discovery, seconds);
        serveWithOneWorker();
        double startedAt = loop.now();
        while (loop.now() < startedAt + 40) {
            step(discovery);
        }
        double perSecond = service.counters().value(Counters.Counter.DISCOVERY_CALLS) / 40.0;
        assertTrue(perSecond <= MAX_CALLS_PER_SECOND, perSecond + " calls a second");
    }

    @Test(dataProvider = "secondsPerCall", timeOut = TIMEOUT_MILLIS)
    public void receivesListOfNewAddressInTimeHoweverLongCallsWait(double seconds)
            throws Exception {
        serveWithOneWorker();
        StubServer other = new StubServer(open);
        version.incrementAndGet();
        answerAfter(other, seconds);
        Config changed = config(other.listen());
        service.reload(() -> changed);
        loop.awaitPendingTasks();
        double waited = secondsUntilReceived(other);
        assertTrue(waited <= RELOAD_LIMIT_SECONDS, "received after " + waited + " s");
    }

    @DataProvider
    public Object[][] splitResponses() {
        // Parts of a response, and the seconds between two of them.
        return new Object[][] {
            {2, 0.5}, {2, 1.0}, {2, 1.2}, {2, 1.9}, {2, 2.5}, {3, 1.0}, {3, 1.2}, {4, 0.9},
            {20, 0.1},
        };
    }

    /** Guards against responses that are given up because discovery pauses within them. */
    @Test(dataProvider = "splitResponses", timeOut = 6 * TIMEOUT_MILLIS)
    public void receivesChangesInTimeHoweverResponsesAreSplit(int parts, double pauseSeconds)
            throws Exception {
        answerInParts(parts, pauseSeconds);
        serveWithOneWorker();
        double startedAt = loop.now();
        for (int i = 1; i <= CHANGES; i++) {
            for (double due = startedAt + i * SECONDS_BETWEEN_CHANGES; loop.now() < due; ) {
                stepWithSplitResponses();
            }
            version.incrementAndGet();
            double changedAt = loop.now();
            while (metric("workers_listed") != workerCount()) {
                stepWithSplitResponses();
                assertFalse(
                        loop.now() - changedAt > NOTIFICATION_LIMIT_SECONDS,
                        "change " + i + " was not received in time");
            }
        }
    }

    /** Pauses within responses must not be answered by more calls. */
    @Test(dataProvider = "splitResponses", timeOut = 6 * TIMEOUT_MILLIS)
    public void callsDiscoveryNoMoreOftenWhenResponsesAreSplit(int parts, double pauseSeconds)
            throws Exception {
        answerInParts(parts, pauseSeconds);
        serveWithOneWorker();
        double startedAt = loop.now();
        while (loop.now() < startedAt + 40) {
            stepWithSplitResponses();
        }
        double perSecond = service.counters().value(Counters.Counter.DISCOVERY_CALLS) / 40.0;
        assertTrue(perSecond <= MAX_CALLS_PER_SECOND, perSecond + " calls a second");
    }

    @DataProvider
    public Object[][] secondsBetweenReloadsAndPerCall() {
        // Reloads before a change, seconds between reloads, seconds per call, number of addresses.
        return new Object[][] {
            {0, 1.2, 1.5, 11},
            {0, 1.0, 1.2, 2},
            {0, 1.5, 1.8, 2},
            {0, 0.5, 1.5, 11},
            {0, 0.2, 1.0, 11},
            {7, 1.2, 1.5, 11},
            {9, 0.5, 1.9, 11},
        };
    }

    /** Guards against reloads in quick succession, each of which gives up the open call. */
    @Test(dataProvider = "secondsBetweenReloadsAndPerCall", timeOut = 6 * TIMEOUT_MILLIS)
    public void receivesChangesInTimeDespiteReloadsInQuickSuccession(
            int reloadsBefore, double interval, double seconds, int addressCount) throws Exception {
        answerAfter(discovery, seconds);
        serveWithOneWorker();
        List<StubServer> servers = new ArrayList<>(List.of(discovery));
        List<Config> configs = new ArrayList<>();
        for (int i = 0; i < addressCount; i++) {
            StubServer server = new StubServer(open);
            answerAfter(server, seconds);
            servers.add(server);
            configs.add(config(server.listen()));
        }
        double changedAt = Double.NaN;
        for (int i = 0; metric("workers_listed") != workerCount() || i <= reloadsBefore; i++) {
            if (i == reloadsBefore) {
                version.incrementAndGet();
                changedAt = loop.now();
            }
            assertFalse(
                    loop.now() - changedAt > NOTIFICATION_LIMIT_SECONDS,
                    "not received after " + (loop.now() - changedAt) + " s");
            Config next = configs.get(i % addressCount);
            service.reload(() -> next);
            loop.awaitPendingTasks();
            for (double due = loop.now() + interval; loop.now() < due; ) {
                step(servers);
            }
        }
    }

    /** The first response of the new address ends the use of the former one. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void usesResponsesOfFormerAddressUntilTheNewOneResponds() throws Exception {
        serveWithOneWorker();
        discovery.nextFirstLine();
        Socket former = discovery.lastConnection;
        StubServer other = new StubServer(open);
        Config changed = config(other.listen());
        service.reload(() -> changed);
        assertEquals(other.promptFirstLine(), "GET /v1/servers HTTP/1.1");
        version.incrementAndGet();
        send(former, okResponse(list()));
        awaitMetric("workers_listed", 2);
        assertEquals(discovery.closed.take().intValue(), 1);
        version.incrementAndGet();
        send(other.lastConnection, okResponse(list()));
        awaitMetric("workers_listed", 3);
        assertTrue(other.nextFirstLine().contains("from=7"));
        assertEquals(discovery.messages.get(), 1);
    }

    /** The response of the older call continues the watch, and the newer call is given up. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void continuesWithCallThatIsAnsweredAfterItsTimeout() throws Exception {
        serveWithOneWorker();
        assertTrue(discovery.nextFirstLine().contains("from=5"));
        Socket first = discovery.lastConnection;
        loop.advance(4.8);
        assertEquals(discovery.promptFirstLine(), "GET /v1/servers?from=5&hold_ms=0 HTTP/1.1");
        version.incrementAndGet();
        send(first, okResponse(list()));
        awaitMetric("workers_listed", 2);
        assertEquals(discovery.closed.take().intValue(), 2);
        assertTrue(discovery.nextFirstLine().contains("from=6"));
        assertEquals(discovery.lastConnection, first);
    }
}
