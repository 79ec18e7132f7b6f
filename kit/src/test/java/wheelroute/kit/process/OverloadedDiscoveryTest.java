package wheelroute.kit.process;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import wheelroute.kit.EventLoopHarness;

/**
 * Real processes and a discovery that all of them call at the same time after an outage.
 *
 * <p>Symptom: attempts went to workers that had been removed 2.2 s after the removal counted as
 * known, at a few of 100 dispatchers. None of these had got a response of discovery for 15 s,
 * although it was up and answered others.
 *
 * <p>Course: discovery was down for 8 s; 1.6 s after its return, 70% of the dispatchers were killed
 * and restarted. All called at once, and the queue of discovery exceeded the 1.8 s after which a
 * dispatcher timed a call out, for as long as it was observed.
 *
 * <p>Cause: a dispatcher timed calls out that discovery had queued, and called again within a
 * second. Discovery works on a call whether or not its caller still waits, so its whole capacity
 * went into calls that had timed out. The backoff did not reduce the fleet's rate of calls below
 * the capacity of discovery.
 *
 * <p>Evidence: a trace of all calls of 100 dispatchers: 13 calls per second timed out and 17 were
 * rejected during 25 s, none was answered.
 */
public class OverloadedDiscoveryTest extends EventLoopHarness {
    private static final int DISPATCHERS = 40;
    private static final int KILLED_DISPATCHERS = 28;
    private static final double OUTAGE_SECONDS = 8;

    /** Discovery can serve one call of each dispatcher within 5 s. */
    private static final OverloadedDiscovery.Capacity CAPACITY =
            new OverloadedDiscovery.Capacity(DISPATCHERS / 5.0, 2, 5);

    /** A change counts as known after 6 s; attempts may continue for a grace period of 3 s. */
    private static final double MAX_WAIT_SECONDS = 9;

    private static final int TIMEOUT_SECONDS = 30;
    private static final double POLL_INTERVAL_SECONDS = 0.05;

    private OverloadedDiscovery discovery;
    private ScriptedDispatchers dispatchers;

    @Override
    protected long loopTimeoutMillis() {
        return 1000L * TIMEOUT_SECONDS;
    }

    @BeforeMethod
    public void begin() throws Exception {
        startLoop();
        discovery = onLoop(() -> new OverloadedDiscovery(loop, DISPATCHERS, CAPACITY));
        dispatchers = new ScriptedDispatchers(DISPATCHERS, loop::now);
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        dispatchers.close();
        loop.stop();
    }

    @Test(timeOut = 180_000)
    public void answersEachDispatcherInTimeAfterOutageAndMassRestart() throws Exception {
        start(DISPATCHERS);
        awaitAnswers();

        runOnLoop(discovery::goDown);
        ScriptedDispatchers.sleep(OUTAGE_SECONDS);
        for (int i = 0; i < KILLED_DISPATCHERS; i++) {
            dispatchers.kill(i);
        }
        double returnedAt =
                onLoop(
                        () -> {
                            discovery.comeBack();
                            return loop.now();
                        });
        start(KILLED_DISPATCHERS);
        awaitAnswers();

        List<String> late = lateDispatchers(returnedAt);
        assertTrue(
                late.isEmpty(), "late, or never (NaN): " + late + "; " + onLoop(discovery::counts));
    }

    private List<String> lateDispatchers(double returnedAt) throws Exception {
        List<String> late = new ArrayList<>();
        for (int i = 0; i < DISPATCHERS; i++) {
            int dispatcher = i;
            double since = Math.max(returnedAt, dispatchers.listeningAt(i));
            double waitSeconds = onLoop(() -> discovery.answeredAt(dispatcher)) - since;
            if (!(waitSeconds <= MAX_WAIT_SECONDS)) {
                late.add(String.format(Locale.ROOT, "%d: %.1f s", i, waitSeconds));
            }
        }
        return late;
    }

    private void start(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            dispatchers.start(i, config(i));
        }
        dispatchers.awaitListening(TIMEOUT_SECONDS);
        for (int i = 0; i < count; i++) {
            assertTrue(dispatchers.listeningAt(i) > 0, dispatchers.logText(i));
        }
    }

    /** Waits until all have been answered, or for the timeout. */
    private void awaitAnswers() throws Exception {
        double deadline = loop.now() + TIMEOUT_SECONDS;
        while (loop.now() < deadline && !onLoop(this::areAllAnswered)) {
            ScriptedDispatchers.sleep(POLL_INTERVAL_SECONDS);
        }
    }

    private boolean areAllAnswered() {
        return IntStream.range(0, DISPATCHERS)
                .noneMatch(i -> Double.isNaN(discovery.answeredAt(i)));
    }

    private String config(int number) {
        return "{\"name\":\"n"
                + number
                + "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                + discovery.address(number).getPort()
                + "\",\"seed\":\""
                + Integer.toHexString(1000 + number)
                + "\",\"known\":{\"version\":1,\"full\":true,\"servers\":[]}"
                + ",\"settings\":{\"az\":\"a\",\"membership_mode\":\"ask\",\"balancers\":"
                + DISPATCHERS
                + ",\"request_classes\":[{\"name\":\"job\",\"effect\":\"free\",\"on_time_us\":500000,"
                + "\"hard_limit_us\":5000000,\"worth\":1}]},\"limits\":{\"memory_mb\":128}}";
    }
}
