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
 * Guards against a fleet that overloads discovery with repeated calls after an outage, so that
 * dispatchers keep an outdated endpoint list.
 *
 * <p>In a run with 100 dispatchers, discovery was down for 8 s, and 70% of the dispatchers were
 * killed and restarted 1.6 s after its return. All of them called at once, and the queue of
 * discovery exceeded the timeout of a call, 1.8 s, for as long as it was observed. A dispatcher
 * whose queued call had timed out called again within a second, but discovery works on a call
 * whether or not its caller still waits, so calls that had timed out used its whole capacity. The
 * backoff did not reduce the call rate of the fleet below this capacity. In a trace of all calls of
 * the 100 dispatchers, 13 calls per second timed out and 17 were rejected during 25 s, and none was
 * answered. A few dispatchers had received no response for 15 s, although discovery was up and
 * answered others, and sent attempts to removed workers 2.2 s after the removal counted as known.
 */
public class OverloadedDiscoveryTest extends EventLoopHarness {
    private static final int DISPATCHERS = 40;
    private static final int KILLED_DISPATCHERS = 28;
    private static final double OUTAGE_SECONDS = 8;

    /** Capacity of discovery, which suffices to serve one call of each dispatcher within 5 s. */
    private static final OverloadedDiscovery.Capacity CAPACITY =
            new OverloadedDiscovery.Capacity(DISPATCHERS / 5.0, 2, 5);

    /**
     * Time within which a dispatcher must receive the list. A change counts as known after 6 s, and
     * attempts may continue for a grace period of 3 s.
     */
    private static final double MAX_WAIT_SECONDS = 9;

    private static final int TIMEOUT_SECONDS = 30;
    private static final double POLL_INTERVAL_SECONDS = 0.05;

    private OverloadedDiscovery discovery;
    private ScriptStartedDispatchers dispatchers;

    @Override
    protected long loopTimeoutMillis() {
        return 1000L * TIMEOUT_SECONDS;
    }

    @BeforeMethod
    public void setUp() throws Exception {
        startLoop();
        discovery = onLoop(() -> new OverloadedDiscovery(loop, DISPATCHERS, CAPACITY));
        dispatchers = new ScriptStartedDispatchers(DISPATCHERS, loop::now);
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws Exception {
        dispatchers.close();
        loop.stop();
    }

    @Test(timeOut = 180_000)
    public void answersEachDispatcherInTimeAfterOutageAndMassRestart() throws Exception {
        start(DISPATCHERS);
        awaitAnswers();

        runOnLoop(discovery::beginOutage);
        ScriptStartedDispatchers.sleep(OUTAGE_SECONDS);
        for (int i = 0; i < KILLED_DISPATCHERS; i++) {
            dispatchers.kill(i);
        }
        double outageEndedAt =
                onLoop(
                        () -> {
                            discovery.endOutage();
                            return loop.now();
                        });
        start(KILLED_DISPATCHERS);
        awaitAnswers();

        List<String> late = lateDispatchers(outageEndedAt);
        assertTrue(
                late.isEmpty(),
                "expected an answer to each dispatcher within "
                        + MAX_WAIT_SECONDS
                        + " s, got late or no (NaN) answers: "
                        + late
                        + "; "
                        + onLoop(discovery::countsText));
    }

    private List<String> lateDispatchers(double outageEndedAt) throws Exception {
        List<String> late = new ArrayList<>();
        for (int i = 0; i < DISPATCHERS; i++) {
            int dispatcher = i;
            double serviceExpectedAt = Math.max(outageEndedAt, dispatchers.listeningAt(i));
            double waitSeconds = onLoop(() -> discovery.answeredAt(dispatcher)) - serviceExpectedAt;
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

    /** Waits until discovery has answered all dispatchers or the timeout has passed. */
    private void awaitAnswers() throws Exception {
        double deadline = loop.now() + TIMEOUT_SECONDS;
        while (loop.now() < deadline && !onLoop(this::areAllAnswered)) {
            ScriptStartedDispatchers.sleep(POLL_INTERVAL_SECONDS);
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
