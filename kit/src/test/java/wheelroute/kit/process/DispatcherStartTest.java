package wheelroute.kit.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Processes that start together by the shipped script, while discovery is down: how soon they take
 * clients.
 */
public class DispatcherStartTest {
    /** Nine in ten of those that start together are to be ready within this. */
    private static final double IN_TIME = 10;

    private static final double NINE_IN_TEN = 0.9;
    private static final double GIVEN_UP = 60;

    @DataProvider
    public Object[][] starts() {
        return new Object[][] {
            // processes at once, workers in the remembered list, megabytes each may take
            {32, 0, 128}, {32, 200, 128}, {4, 30_000, 192},
        };
    }

    /**
     * Discovery refuses all the while: what is remembered has to do, and nobody waits for an
     * answer.
     */
    @Test(dataProvider = "starts", timeOut = 120_000)
    public void nineInTenAreReadyInTime(int processes, int workers, int memory) throws Exception {
        try (ScriptedDispatchers dispatchers =
                new ScriptedDispatchers(processes, DispatcherStartTest::now)) {
            String known = known(workers);
            double begun = now();
            for (int i = 0; i < processes; i++) {
                dispatchers.start(i, config(i, processes, memory, known));
            }
            dispatchers.awaitListening(GIVEN_UP);
            int inTime = 0;
            for (int i = 0; i < processes; i++) {
                double ready = dispatchers.listeningAt(i) - begun;
                assertTrue(ready > 0, dispatchers.logText(i));
                inTime += ready <= IN_TIME ? 1 : 0;
            }
            assertTrue(inTime >= NINE_IN_TEN * processes, inTime + " of " + processes + " in time");
            assertEquals(dispatchers.terminateAll(), new int[processes]);
        }
    }

    private static double now() {
        return System.nanoTime() / (double) TimeUnit.SECONDS.toNanos(1);
    }

    /** In one line, as programs write it. */
    private static String known(int workers) {
        StringBuilder out = new StringBuilder("{\"version\":3,\"full\":true,\"servers\":[");
        for (int i = 0; i < workers; i++) {
            String place =
                    String.format(
                            Locale.ROOT,
                            "127.%d.%d.%d:9001",
                            1 + i / 62_500,
                            i / 250 % 250,
                            1 + i % 250);
            out.append(i > 0 ? "," : "")
                    .append(
                            String.format(
                                    Locale.ROOT,
                                    "{\"id\":\"s-%08x\",\"addr\":"
                                            + "\"%s\",\"zone\":\"z%d\",\"kind\":\"m%d\",\"cell\":%d,\"state\":\"ready\","
                                            + "\"weight\":1.0,\"started_ms\":0}",
                                    i,
                                    place,
                                    i % 13,
                                    i % 3,
                                    i % 40));
        }
        return out.append("]}").toString();
    }

    private static String config(int number, int all, int memory, String known) throws IOException {
        return "{\"name\":\"n"
                + number
                + "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                + closedPort()
                + "\",\"known\":"
                + known
                + ",\"settings\":{\"az\":\"z1\",\"balancers\":"
                + all
                + ",\"request_classes\":[{\"name\":\"job\",\"effect\":\"free\",\"on_time_us\":500000,"
                + "\"hard_limit_us\":5000000,\"worth\":1}]},\"limits\":{\"memory_mb\":"
                + memory
                + "}}";
    }

    private static int closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
