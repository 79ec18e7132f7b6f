package wheelroute;

import static org.testng.Assert.assertEquals;
import static wheelroute.net.HttpMessages.readMessage;
import static wheelroute.net.HttpMessages.send;
import static wheelroute.net.HttpMessages.statusOf;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.RecordingWorkers.FirstResponse;
import wheelroute.RecordingWorkers.Plan;
import wheelroute.RecordingWorkers.Terms;

/**
 * Guards against a second effect of a request that its client sends again with the same idempotency
 * key and a new id, as every retry of a client has (incident a9bd3f).
 */
public class RepeatedKeyTest {
    private static final int TIMEOUT_MILLIS = 60_000;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final int REQUESTS = 16;
    private static final int CELLS = 4;
    private static final int JOB_MILLIS = 150;
    private static final double WINDOW_SECONDS = 30;
    private static final double SHORT_WINDOW_SECONDS = 2;
    private static final int CONFLICT = 409;
    private static final int FAILED = 502;
    private static final int SMALLEST_HEAP_MEGABYTES = 16;
    private static final int MANY_KEYS_CLIENTS = 12;
    private static final int KEYS_PER_CLIENT = 500;
    private static final long MILLIS_TO_NANOS = 1_000_000;

    private final List<AutoCloseable> resources = Collections.synchronizedList(new ArrayList<>());
    private RecordingWorkers workers;

    /** What the clients do after their first requests. */
    private enum Departure {
        CLOSE,
        RESET,
        STAY,
        READ_RESPONSE
    }

    /** What happens to the dispatcher before the requests come again. */
    private enum Event {
        NONE,
        RELOAD,
        REPLACE,
        REPLACE_AND_KILL_PREDECESSOR
    }

    /**
     * One way in which requests come again.
     *
     * @param departMillis the time from the arrival of the first attempts to the departure
     * @param returnMillis the time from the departure to the repeats
     */
    private record Form(
            FirstResponse response,
            Departure departure,
            long departMillis,
            Event event,
            long returnMillis,
            double windowSeconds,
            int status) {}

    private String config(double windowSeconds) throws IOException {
        ServerSocket silentDiscovery = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        resources.add(silentDiscovery);
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"admin\":\"127.0.0.1:0\","
                + "\"discovery\":\"127.0.0.1:"
                + silentDiscovery.getLocalPort()
                + "\",\"known\":{\"version\":5,\"full\":true,\"servers\":["
                + workers.start(CELLS, 2)
                + "]},\"settings\":{\"request_classes\":["
                + "{\"name\":\"keyed\",\"effect\":\"guarded\",\"group\":\"cell\",\"window_us\":"
                + Math.round(windowSeconds * 1e6)
                + ",\"on_time_us\":5000000,\"worth\":1,\"hard_limit_us\":20000000}],"
                + "\"permissions\":{\"cancel\":true,\"most_tries\":6,"
                + "\"connect_timeout_us\":250000}}}";
    }

    private DispatcherProcess start(Path directory, String config) throws Exception {
        DispatcherProcess process = DispatcherProcess.start(directory, config, 0);
        resources.add(process);
        return process;
    }

    private Socket sendRequest(DispatcherProcess process, String id, String key)
            throws IOException {
        Socket client = new Socket(InetAddress.getLoopbackAddress(), process.port());
        resources.add(client);
        client.setSoTimeout(READ_TIMEOUT_MILLIS);
        send(client, request(id, key));
        return client;
    }

    private static String request(String id, String key) {
        return "POST /keyed HTTP/1.1\r\nHost: a\r\nX-Request-ID: "
                + id
                + "\r\nIdempotency-Key: "
                + key
                + "\r\nX-Timeout: 8\r\nX-Cost: 1000\r\nContent-Length: 2\r\n\r\nhi";
    }

    private static void sleep(long millis) {
        LockSupport.parkNanos(millis * MILLIS_TO_NANOS);
    }

    @DataProvider
    public Object[][] forms() {
        FirstResponse none = FirstResponse.NONE;
        FirstResponse done = FirstResponse.SUCCEEDED;
        Departure read = Departure.READ_RESPONSE;
        Event replace = Event.REPLACE;
        Event kill = Event.REPLACE_AND_KILL_PREDECESSOR;
        double window = WINDOW_SECONDS;
        return new Object[][] {
            {new Form(none, Departure.CLOSE, 150, Event.NONE, 1000, window, 200)},
            {new Form(none, Departure.RESET, 150, Event.NONE, 1000, window, 200)},
            {new Form(none, Departure.CLOSE, 150, Event.NONE, 30, window, 200)},
            {new Form(done, read, 0, Event.NONE, 1000, window, 200)},
            {new Form(FirstResponse.KILLED, Departure.CLOSE, 20, Event.NONE, 500, window, 200)},
            {new Form(none, Departure.STAY, 150, Event.NONE, 0, window, CONFLICT)},
            {new Form(none, Departure.CLOSE, 150, Event.RELOAD, 1000, window, 200)},
            {new Form(none, Departure.CLOSE, 150, replace, 100, window, 200)},
            {new Form(none, Departure.STAY, 150, replace, 100, window, CONFLICT)},
            {new Form(done, read, 0, replace, 100, window, 200)},
            {new Form(none, Departure.STAY, 150, kill, 100, window, 200)},
            {new Form(done, read, 0, Event.NONE, 2500, SHORT_WINDOW_SECONDS, FAILED)},
        };
    }

    @Test(dataProvider = "forms", timeOut = TIMEOUT_MILLIS)
    public void sendsRepeatsWithNewIdsOnlyToWorkersThatKnowTheirKeys(Form form) throws Exception {
        checkRepeats(form, "new");
    }

    @Test(dataProvider = "forms", timeOut = TIMEOUT_MILLIS)
    public void sendsRepeatsWithTheSameIdsOnlyToWorkersThatKnowTheirKeys(Form form)
            throws Exception {
        checkRepeats(form, "first");
    }

    private void checkRepeats(Form form, String repeatPrefix) throws Exception {
        Plan plan =
                new Plan(form.response, form.response == FirstResponse.SUCCEEDED ? JOB_MILLIS : 0);
        workers = new RecordingWorkers(resources, key -> plan);
        Path directory = Files.createTempDirectory("wheelroute");
        String config = config(form.windowSeconds);
        DispatcherProcess first = start(directory, config);
        // The successor starts first where requests must be in flight when it is there.
        boolean early = form.event == Event.REPLACE_AND_KILL_PREDECESSOR;
        DispatcherProcess second = early ? start(directory, config) : first;
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            clients.add(sendRequest(first, "first" + i, "key" + i));
        }
        awaitFirstAttempts();
        sleep(form.departMillis);
        depart(clients, form.departure);
        if (form.event == Event.RELOAD) {
            first.signal("HUP");
        } else if (form.event == Event.REPLACE) {
            second = start(directory, config);
        } else if (early) {
            first.signal("KILL");
        }
        sleep(form.returnMillis);
        List<Integer> statuses = repeat(second, repeatPrefix);
        assertEquals(
                workers.violations("key", new Terms(CELLS, form.windowSeconds, false)),
                List.of(),
                second.log());
        assertEquals(statuses, Collections.nCopies(REQUESTS, form.status), second.log());
    }

    /** Guards against rejections of all keyed requests once some thousand keys are remembered. */
    @Test(timeOut = TIMEOUT_MILLIS)
    public void servesNewKeysWhenThousandsAreRemembered() throws Exception {
        workers = new RecordingWorkers(resources, key -> new Plan(FirstResponse.SUCCEEDED, 0));
        Path directory = Files.createTempDirectory("wheelroute");
        DispatcherProcess process =
                DispatcherProcess.start(
                        directory, config(WINDOW_SECONDS), 0, SMALLEST_HEAP_MEGABYTES);
        resources.add(process);
        AtomicInteger served = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < MANY_KEYS_CLIENTS; i++) {
            String prefix = "client" + i + "-";
            clients.add(BackgroundTask.start(() -> sendMany(process, prefix, served)));
        }
        for (Thread client : clients) {
            client.join();
        }
        assertEquals(served.get(), MANY_KEYS_CLIENTS * KEYS_PER_CLIENT, process.log());
    }

    private void sendMany(DispatcherProcess process, String prefix, AtomicInteger served)
            throws IOException {
        Socket client = new Socket(InetAddress.getLoopbackAddress(), process.port());
        resources.add(client);
        client.setSoTimeout(READ_TIMEOUT_MILLIS);
        for (int i = 0; i < KEYS_PER_CLIENT; i++) {
            send(client, request(prefix + i, prefix + i));
            if (statusOf(readMessage(client.getInputStream())) == 200) {
                served.incrementAndGet();
            }
        }
    }

    private void awaitFirstAttempts() {
        for (int i = 0; i < REQUESTS; i++) {
            while (workers.attemptsOf("key" + i).isEmpty()) {
                sleep(1);
            }
        }
    }

    private static void depart(List<Socket> clients, Departure departure) throws IOException {
        for (Socket client : clients) {
            switch (departure) {
                case CLOSE -> client.close();
                case RESET -> {
                    client.setSoLinger(true, 0);
                    client.close();
                }
                case READ_RESPONSE ->
                        assertEquals(statusOf(readMessage(client.getInputStream())), 200);
                case STAY -> {}
            }
        }
    }

    private List<Integer> repeat(DispatcherProcess process, String idPrefix) throws IOException {
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            clients.add(sendRequest(process, idPrefix + i, "key" + i));
        }
        List<Integer> statuses = new ArrayList<>();
        for (Socket client : clients) {
            statuses.add(statusOf(readMessage(client.getInputStream())));
        }
        return statuses;
    }

    @AfterMethod(alwaysRun = true)
    public void closeResources() throws Exception {
        for (AutoCloseable resource : new ArrayList<>(resources)) {
            resource.close();
        }
        resources.clear();
    }
}
