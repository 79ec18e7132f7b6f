package wheelroute.kit.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against slow starts when the shipped script starts many processes at the same time while
 * discovery is down.
 */
public class DispatcherStartTest {
    /** Time within which the required fraction of the processes must listen. */
    private static final double MAX_START_SECONDS = 10;

    private static final double IN_TIME_FRACTION = 0.9;
    private static final double TIMEOUT_SECONDS = 60;

    @DataProvider
    public Object[][] starts() {
        return new Object[][] {
            // The columns are processes, workers in the cached list, memory limit of a process in
            // MB.
            {32, 0, 128}, {32, 200, 128}, {4, 30_000, 192},
        };
    }

    @Test(dataProvider = "starts", timeOut = 120_000)
    public void listenInTimeWithoutDiscovery(int processes, int workers, int memoryMb)
            throws Exception {
        try (ScriptStartedDispatchers dispatchers =
                new ScriptStartedDispatchers(processes, DispatcherStartTest::now)) {
            String cachedList = cachedList(workers);
            double startedAt = now();
            for (int i = 0; i < processes; i++) {
                dispatchers.start(i, config(i, processes, memoryMb, cachedList));
            }
            dispatchers.awaitListening(TIMEOUT_SECONDS);

            int inTime = 0;
            for (int i = 0; i < processes; i++) {
                double startSeconds = dispatchers.listeningAt(i) - startedAt;
                assertTrue(startSeconds > 0, dispatchers.logText(i));
                inTime += startSeconds <= MAX_START_SECONDS ? 1 : 0;
            }
            assertTrue(
                    inTime >= IN_TIME_FRACTION * processes,
                    "expected at least "
                            + IN_TIME_FRACTION * processes
                            + " processes listening within "
                            + MAX_START_SECONDS
                            + " s, got "
                            + inTime
                            + " of "
                            + processes);
            assertEquals(dispatchers.terminateAll(), new int[processes]);
        }
    }

    private static double now() {
        return System.nanoTime() / (double) TimeUnit.SECONDS.toNanos(1);
    }

    /** Returns an endpoint list on a single line, which is how programs write it. */
    private static String cachedList(int workers) throws IOException {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            entries.add(
                    new DiscoveryJson.Endpoint(
                                    String.format(Locale.ROOT, "s-%08x", i),
                                    workerAddress(i),
                                    "z" + i % 13,
                                    "m" + i % 3,
                                    i % 40,
                                    "ready",
                                    0)
                            .json());
        }
        return DiscoveryJson.list(3, true, entries);
    }

    private static InetSocketAddress workerAddress(int worker) throws IOException {
        byte[] address = {
            127,
            (byte) (1 + worker / 62_500),
            (byte) (worker / 250 % 250),
            (byte) (1 + worker % 250)
        };
        return new InetSocketAddress(InetAddress.getByAddress(address), 9001);
    }

    private static String config(int number, int balancers, int memoryMb, String cachedList)
            throws IOException {
        return "{\"name\":\"n"
                + number
                + "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                + closedPort()
                + "\",\"known\":"
                + cachedList
                + ",\"settings\":{\"az\":\"z1\",\"balancers\":"
                + balancers
                + ",\"request_classes\":[{\"name\":\"job\",\"effect\":\"free\",\"on_time_us\":500000,"
                + "\"hard_limit_us\":5000000,\"worth\":1}]},\"limits\":{\"memory_mb\":"
                + memoryMb
                + "}}";
    }

    private static int closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
