package wheelroute.net.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Delays after failed calls, computed without clock or sockets. */
public class BackoffTest {
    private static final int SEEDS = 2_000;
    private static final int FAILURES = 12;

    @DataProvider
    public Object[][] callDurations() {
        return new Object[][] {
            // duration of a failed call: refused, handshake timeout, stalled response, no response
            {0.0}, {0.25}, {1.0}, {Backoff.CALL_TIMEOUT_SECONDS},
        };
    }

    /** Whatever the jitter and the number of failures, the complete response comes in time. */
    @Test(dataProvider = "callDurations")
    public void recoversWithinTheMaximumTime(double callDuration) {
        double worst = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            Backoff backoff = new Backoff(seed);
            for (int i = 0; i < FAILURES; i++) {
                worst =
                        Math.max(
                                worst,
                                callDuration
                                        + backoff.nextDelay(callDuration)
                                        + Backoff.CALL_TIMEOUT_SECONDS);
            }
        }
        assertTrue(worst <= 4.8, "recovered after " + worst);
        assertTrue(worst > 4.7, "more calls than needed: " + worst);
    }

    /** A call that used up the recovery time is followed by the minimum delay. */
    @Test
    public void usesTheMinimumDelayAfterALongCall() {
        Backoff backoff = new Backoff(1);
        for (int i = 0; i < SEEDS; i++) {
            double delay = backoff.nextDelay(100);
            assertTrue(delay >= 0.1 && delay <= 0.2, "" + delay);
        }
    }

    /** Delays double up to the maximum, and start again after a reset. */
    @Test
    public void delaysGrowUntilReset() {
        Backoff backoff = new Backoff(7);
        double[] delays = new double[4];
        for (int round = 0; round < 2; round++) {
            for (int i = 0; i < delays.length; i++) {
                delays[i] = backoff.nextDelay(0);
            }
            assertTrue(delays[0] >= 0.5 && delays[0] < 1, Arrays.toString(delays));
            assertTrue(delays[1] >= 1 && delays[1] < 2, Arrays.toString(delays));
            assertTrue(delays[2] >= 1.25 && delays[2] < 2.5, Arrays.toString(delays));
            assertTrue(delays[3] >= 1.25 && delays[3] < 2.5, Arrays.toString(delays));
            backoff.reset();
        }
    }

    /** A dispatcher's next call to discovery. */
    private record Call(double time, Backoff backoff) {
        Call retryAfter(double callDuration) {
            return new Call(time + callDuration + backoff.nextDelay(callDuration), backoff);
        }
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            // dispatchers, duration of each failing call, responses per second of discovery
            {100, 0.0, 45},
            {300, 0.0, 135},
            {300, Backoff.CALL_TIMEOUT_SECONDS, 200},
            {300, 0.25, 140},
        };
    }

    /**
     * All dispatchers lose discovery at the same moment, and it returns 17 s later, serving calls
     * in turn, abandoned ones included. No call times out then, and all have the list in time.
     */
    @Test(dataProvider = "fleets")
    public void noCallTimesOutAfterAnOutage(
            int dispatchers, double callDuration, double responsesPerSecond) {
        double outageEnd = 17;
        PriorityQueue<Call> calls = new PriorityQueue<>(Comparator.comparingDouble(Call::time));
        for (int i = 0; i < dispatchers; i++) {
            Backoff backoff = new Backoff(1000 + i);
            calls.add(new Call(backoff.nextDelay(0), backoff));
        }
        double freeAt = outageEnd;
        double last = 0;
        int answered = 0;
        int received = 0;
        while (!calls.isEmpty()) {
            Call call = calls.poll();
            if (call.time < outageEnd) {
                calls.add(call.retryAfter(callDuration));
                continue;
            }
            received++;
            freeAt = Math.max(freeAt, call.time) + 1 / responsesPerSecond;
            if (freeAt - call.time > Backoff.CALL_TIMEOUT_SECONDS) {
                calls.add(call.retryAfter(Backoff.CALL_TIMEOUT_SECONDS));
            } else {
                answered++;
                last = Math.max(last, freeAt);
            }
        }
        assertEquals(answered, dispatchers);
        assertEquals(received, dispatchers, "some calls timed out in the queue");
        assertTrue(last - outageEnd <= 4.8, "the last response after " + (last - outageEnd));
    }

    /** Dispatchers whose calls fail together spread out: few call within a tenth of a second. */
    @Test
    public void spreadsCallsThatFailedTogether() {
        int dispatchers = 300;
        int[] callsPerTenth = new int[32];
        for (int i = 0; i < dispatchers; i++) {
            Backoff backoff = new Backoff(1000 + i);
            double time = 0;
            while (time < 14) {
                time += backoff.nextDelay(0);
            }
            callsPerTenth[(int) ((time - 14) * 10)]++;
        }
        int max = Arrays.stream(callsPerTenth).max().getAsInt();
        assertTrue(max <= 30, "a tenth of all in one tenth of a second: " + max);
    }
}
