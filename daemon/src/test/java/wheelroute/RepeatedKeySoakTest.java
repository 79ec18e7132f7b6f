package wheelroute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.RecordingWorkers.FirstResponse;
import wheelroute.RecordingWorkers.Plan;
import wheelroute.RecordingWorkers.Terms;

/**
 * Guards against a second effect of requests that come again (incident a9bd3f): each seed draws
 * terms, faults of workers, habits of clients, and a series of reloads and replacements. The
 * property {@code soak.seeds} is the number of seeds, {@code soak.first} the first one.
 */
public class RepeatedKeySoakTest {
    private static final int TIMEOUT_MILLIS = 120_000;
    private static final int DEFAULT_SEEDS = 6;
    private static final int CELLS = 4;
    private static final int CLIENTS = 24;
    private static final int IDLE_CLIENTS = 150;
    private static final int SINGLE_CLIENTS = 6;
    private static final int CLIENT_SECONDS = 6;
    private static final double LONGEST_DEADLINE_SECONDS = 3;

    /** The earliest kill after SIGTERM: the longest deadline and 0.7 s more. */
    private static final double KILL_SECONDS = LONGEST_DEADLINE_SECONDS + 0.7;

    private static final double NANOS_PER_SECOND = 1e9;

    private final List<AutoCloseable> resources = Collections.synchronizedList(new ArrayList<>());

    /** What one seed draws. */
    private record Scenario(
            long seed,
            String group,
            double windowSeconds,
            boolean mayHedge,
            boolean mayCancel,
            boolean crowd) {
        static Scenario draw(long seed) {
            Random random = new Random(seed);
            String group = List.of("cell", "cell", "cell", "zone", "all").get(random.nextInt(5));
            double windowSeconds = List.of(2.0, 5.0, 30.0).get(random.nextInt(3));
            return new Scenario(
                    seed,
                    group,
                    windowSeconds,
                    random.nextBoolean(),
                    random.nextInt(4) > 0,
                    random.nextInt(4) == 0);
        }

        Terms terms() {
            int groups = group.equals("cell") ? CELLS : group.equals("zone") ? 2 : 1;
            return new Terms(groups, windowSeconds, mayHedge);
        }

        /** Returns what happens to the first attempt of a key, always the same for a key. */
        Plan plan(String key) {
            Random random = new Random(seed ^ key.hashCode() * 0x9e3779b97f4a7c15L);
            random.nextInt();
            FirstResponse[] responses = FirstResponse.values();
            FirstResponse response =
                    random.nextBoolean()
                            ? FirstResponse.SUCCEEDED
                            : responses[random.nextInt(responses.length)];
            return new Plan(response, random.nextInt(1000));
        }

        String config(int port, int discoveryPort, String servers) {
            String limits = "\"on_time_us\":1000000,\"worth\":1,\"hard_limit_us\":3000000}";
            return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:"
                    + port
                    + "\",\"admin\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                    + discoveryPort
                    + "\",\"known\":{\"version\":5,\"full\":true,\"servers\":["
                    + servers
                    + "]},\"settings\":{\"request_classes\":["
                    + "{\"name\":\"keyed\",\"effect\":\"guarded\",\"group\":\""
                    + group
                    + "\",\"window_us\":"
                    + Math.round(windowSeconds * 1e6)
                    + ","
                    + limits
                    + ",{\"name\":\"single\",\"effect\":\"once\","
                    + limits
                    + "],\"permissions\":{\"cancel\":"
                    + mayCancel
                    + ",\"may_duplicate\":"
                    + mayHedge
                    + ",\"most_tries\":6,\"connect_timeout_us\":250000}}}";
        }
    }

    @DataProvider
    public Object[][] seeds() {
        int first = Integer.getInteger("soak.first", 1);
        int count = Integer.getInteger("soak.seeds", DEFAULT_SEEDS);
        Object[][] seeds = new Object[count][];
        for (int i = 0; i < count; i++) {
            seeds[i] = new Object[] {(long) (first + i)};
        }
        return seeds;
    }

    @Test(dataProvider = "seeds", timeOut = TIMEOUT_MILLIS)
    public void hasNoSecondEffectOfRequestsThatComeAgain(long seed) throws Exception {
        Scenario scenario = Scenario.draw(seed);
        RecordingWorkers workers = new RecordingWorkers(resources, scenario::plan);
        Path directory = Files.createTempDirectory("wheelroute");
        int port = freePort();
        ServerSocket silentDiscovery = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        resources.add(silentDiscovery);
        String config =
                scenario.config(port, silentDiscovery.getLocalPort(), workers.start(CELLS, 2));
        DispatcherProcess process = start(directory, config);
        openCrowd(scenario, port);
        List<RepeatingClient> clients = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        double until = now() + CLIENT_SECONDS;
        for (int i = 0; i < CLIENTS; i++) {
            boolean keyed = i >= SINGLE_CLIENTS;
            RepeatingClient client = new RepeatingClient(port, seed * CLIENTS + i, keyed, i);
            resources.add(client);
            clients.add(client);
            threads.add(BackgroundTask.start(() -> client.run(until)));
        }
        String log = playSignals(new Random(~seed), process, directory, config, until);
        for (Thread thread : threads) {
            thread.join();
        }
        assertNone(workers.violations("key", scenario.terms()), scenario, log);
        Terms single = new Terms(CELLS, 0, false);
        assertNone(workers.violations("single", single), scenario, log);
        assertNone(
                clients.stream().flatMap(client -> client.unanswered().stream()).toList(),
                scenario,
                log);
        assertTrue(workers.furtherAttempts() > 0, "no request came again, " + scenario);
    }

    private static void assertNone(List<String> faults, Scenario scenario, String log) {
        assertEquals(String.join("\n", faults), "", scenario + log);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private DispatcherProcess start(Path directory, String config) throws Exception {
        DispatcherProcess process = DispatcherProcess.start(directory, config, 0);
        resources.add(process);
        return process;
    }

    /** Opens connections that never complete a request. */
    private void openCrowd(Scenario scenario, int port) throws IOException {
        for (int i = 0; scenario.crowd && i < IDLE_CLIENTS; i++) {
            Socket idle = new Socket(InetAddress.getLoopbackAddress(), port);
            resources.add(idle);
            idle.getOutputStream().write('P');
        }
    }

    /** Plays a series of signals until the clients end, and returns the logs of all processes. */
    private String playSignals(
            Random random, DispatcherProcess first, Path directory, String config, double until)
            throws Exception {
        DispatcherProcess current = first;
        StringBuilder log = new StringBuilder();
        while (now() < until) {
            sleep(random.nextDouble());
            switch (random.nextInt(3)) {
                case 0 -> {
                    for (int i = random.nextInt(3); i >= 0; i--) {
                        current.signal("HUP");
                    }
                }
                case 1 -> {
                    DispatcherProcess next = start(directory, config);
                    sleep(random.nextDouble() / 2);
                    current.signal("KILL");
                    log.append("\nkilled:\n").append(current.log());
                    current = next;
                }
                default -> {
                    DispatcherProcess next = start(directory, config);
                    current.signal("TERM");
                    sleep(KILL_SECONDS);
                    current.close();
                    log.append("\nreplaced:\n").append(current.log());
                    current = next;
                }
            }
        }
        return log + "\nlast:\n" + current.log();
    }

    private static double now() {
        return System.nanoTime() / NANOS_PER_SECOND;
    }

    private static void sleep(double seconds) {
        LockSupport.parkNanos((long) (seconds * NANOS_PER_SECOND));
    }

    @AfterMethod(alwaysRun = true)
    public void closeResources() throws Exception {
        for (AutoCloseable resource : new ArrayList<>(resources)) {
            resource.close();
        }
        resources.clear();
    }
}
