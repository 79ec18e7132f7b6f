package wheelroute.net.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the delays after failed calls, without clock or sockets. {@link FleetBackoffTest} tests a
 * fleet whose calls queue up at discovery.
 */
public class BackoffTest {
    private static final int SEEDS = 2_000;
    private static final int FAILURES = 12;
    private static final double OUTAGE_SECONDS = 17;

    @DataProvider
    public Object[][] callDurations() {
        return new Object[][] {
            // Duration of the failed call: connection refused, handshake timeout, stalled response,
            // no response.
            {0.0}, {0.25}, {1.0}, {Backoff.CALL_TIMEOUT_SECONDS},
        };
    }

    /**
     * The longest recovery time over all seeds and failures is within the maximum, but not far
     * below it.
     */
    @Test(dataProvider = "callDurations")
    public void recoversWithinMaximumTime(double callDuration) {
        double worst = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            Backoff backoff = new Backoff(seed, 1);
            for (int i = 0; i < FAILURES; i++) {
                worst =
                        Math.max(
                                worst,
                                callDuration
                                        + backoff.nextDelay(callDuration, false)
                                        + Backoff.CALL_TIMEOUT_SECONDS);
            }
        }
        assertTrue(worst <= 4.8, "recovery time over 4.8 s: " + worst + " s");
        assertTrue(worst > 4.7, "more calls than needed, longest recovery time " + worst + " s");
    }

    /** A call that has used up the recovery time is followed by the minimum delay. */
    @Test
    public void usesMinimumDelayAfterLongCall() {
        Backoff backoff = new Backoff(1, 1);
        for (int i = 0; i < SEEDS; i++) {
            double delay = backoff.nextDelay(100, false);
            assertTrue(
                    delay >= 0.1 && delay <= 0.2,
                    "expected a delay of 0.1 to 0.2 s, got " + delay + " s");
        }
    }

    @Test
    public void doublesDelaysUpToMaximumUntilReset() {
        Backoff backoff = new Backoff(7, 1);
        double[] delays = new double[4];
        for (int round = 0; round < 2; round++) {
            for (int i = 0; i < delays.length; i++) {
                delays[i] = backoff.nextDelay(0, false);
            }
            assertTrue(delays[0] >= 0.5 && delays[0] < 1, Arrays.toString(delays));
            assertTrue(delays[1] >= 1 && delays[1] < 2, Arrays.toString(delays));
            assertTrue(delays[2] >= 1.25 && delays[2] < 2.5, Arrays.toString(delays));
            assertTrue(delays[3] >= 1.25 && delays[3] < 2.5, Arrays.toString(delays));
            backoff.reset();
        }
    }

    /** The next call of a dispatcher. */
    private record Call(double time, Backoff backoff) {
        Call retryAfter(double callDuration) {
            return new Call(time + callDuration + backoff.nextDelay(callDuration, false), backoff);
        }
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            // Dispatchers, duration of each failed call in seconds, responses of discovery per
            // second.
            {100, 0.0, 45},
            {300, 0.0, 135},
            {300, Backoff.CALL_TIMEOUT_SECONDS, 200},
            {300, 0.25, 140},
        };
    }

    /**
     * All dispatchers lose discovery at the same time. After 17 s discovery is reachable again and
     * serves calls in order, including those that have timed out.
     */
    @Test(dataProvider = "fleets")
    public void answersAllCallsWithoutTimeoutAfterOutage(
            int dispatchers, double callDuration, double responsesPerSecond) {
        PriorityQueue<Call> calls = new PriorityQueue<>(Comparator.comparingDouble(Call::time));
        for (int i = 0; i < dispatchers; i++) {
            Backoff backoff = new Backoff(1000 + i, 1);
            calls.add(new Call(backoff.nextDelay(0, false), backoff));
        }
        double queueEmptyAt = OUTAGE_SECONDS;
        double last = 0;
        int answered = 0;
        int received = 0;
        while (!calls.isEmpty()) {
            Call call = calls.poll();
            if (call.time < OUTAGE_SECONDS) {
                calls.add(call.retryAfter(callDuration));
                continue;
            }
            received++;
            queueEmptyAt = Math.max(queueEmptyAt, call.time) + 1 / responsesPerSecond;
            if (queueEmptyAt - call.time > Backoff.CALL_TIMEOUT_SECONDS) {
                calls.add(call.retryAfter(Backoff.CALL_TIMEOUT_SECONDS));
            } else {
                answered++;
                last = Math.max(last, queueEmptyAt);
            }
        }
        assertEquals(answered, dispatchers);
        assertEquals(received, dispatchers, "some calls timed out in the queue");
        assertTrue(
                last - OUTAGE_SECONDS <= 4.8,
                "last response " + (last - OUTAGE_SECONDS) + " s after the end of the outage");
    }

    @Test
    public void spreadsCallsThatFailedTogether() {
        int dispatchers = 300;
        int[] callsPerTenth = new int[32];
        for (int i = 0; i < dispatchers; i++) {
            Backoff backoff = new Backoff(1000 + i, 1);
            double time = 0;
            while (time < 14) {
                time += backoff.nextDelay(0, false);
            }
            callsPerTenth[(int) ((time - 14) * 10)]++;
        }
        int max = Arrays.stream(callsPerTenth).max().getAsInt();
        assertTrue(max <= 30, "expected at most 30 calls within 0.1 s, got " + max);
    }
}
