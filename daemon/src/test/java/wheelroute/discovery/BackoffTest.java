package wheelroute.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.PriorityQueue;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The reckoning of the pauses after failed calls, alone: no clock, no sockets. */
public class BackoffTest {
    private static final int DRAWS = 2_000;
    private static final int FAILURES = 12;

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            // how long a failed call took: refused, a handshake given up, a stopped answer, silence
            {0.0}, {0.25}, {1.0}, {Backoff.CALL_TIMEOUT},
        };
    }

    /** Whatever was drawn and however often it failed before, its whole answer comes in time. */
    @Test(dataProvider = "failures")
    public void theNextAnswerComesInTime(double took) {
        double worst = 0;
        for (long seed = 0; seed < DRAWS; seed++) {
            Backoff backoff = new Backoff(seed);
            for (int i = 0; i < FAILURES; i++) {
                worst = Math.max(worst, took + backoff.nextDelay(took) + Backoff.CALL_TIMEOUT);
            }
        }
        assertTrue(worst <= 4.8, "the answer after " + worst);
        assertTrue(worst > 4.7, "no more calls than needed: " + worst);
    }

    /** A call that took all the time that there is leaves a pause all the same, and a short one. */
    @Test
    public void aCallThatTookLongIsFollowedByTheLeastPause() {
        Backoff backoff = new Backoff(1);
        for (int i = 0; i < DRAWS; i++) {
            double pause = backoff.nextDelay(100);
            assertTrue(pause >= 0.1 && pause <= 0.2, "" + pause);
        }
    }

    /** A lasting outage is asked less often than a short one, and an answer ends it. */
    @Test
    public void pausesGrowUntilAnAnswer() {
        Backoff backoff = new Backoff(7);
        double[] pauses = new double[4];
        for (int round = 0; round < 2; round++) {
            for (int i = 0; i < pauses.length; i++) {
                pauses[i] = backoff.nextDelay(0);
            }
            assertTrue(pauses[0] >= 0.5 && pauses[0] < 1, Arrays.toString(pauses));
            assertTrue(pauses[1] >= 1 && pauses[1] < 2, Arrays.toString(pauses));
            assertTrue(pauses[2] >= 1.5 && pauses[2] < 3, Arrays.toString(pauses));
            assertTrue(pauses[3] >= 1.5 && pauses[3] < 3, Arrays.toString(pauses));
            backoff.reset();
        }
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            // dispatchers, how long each failing call takes, answers a second that discovery can
            // give
            {100, 0.0, 45}, {300, 0.0, 135}, {300, Backoff.CALL_TIMEOUT, 200}, {300, 0.25, 140},
        };
    }

    /**
     * All lose discovery in one moment, and it returns 17 s later with a queue for its callers. It
     * works through the calls that were given up, too. Nobody gives up a call then, and all have
     * the list in time.
     */
    @Test(dataProvider = "fleets")
    public void afterAnOutageNobodyAsksTwice(int dispatchers, double took, double answersASecond) {
        double returns = 17;
        PriorityQueue<double[]> calls = new PriorityQueue<>((a, b) -> Double.compare(a[0], b[0]));
        Backoff[] all = new Backoff[dispatchers];
        for (int i = 0; i < dispatchers; i++) {
            all[i] = new Backoff(1000 + i);
            calls.add(new double[] {all[i].nextDelay(0), i});
        }
        double freeAt = returns;
        double last = 0;
        int answered = 0;
        int asked = 0;
        while (!calls.isEmpty()) {
            double[] call = calls.poll();
            if (call[0] < returns) {
                calls.add(
                        new double[] {
                            call[0] + took + all[(int) call[1]].nextDelay(took), call[1]
                        });
                continue;
            }
            asked++;
            freeAt = Math.max(freeAt, call[0]) + 1 / answersASecond;
            if (freeAt - call[0] > Backoff.CALL_TIMEOUT) {
                double at = call[0] + Backoff.CALL_TIMEOUT;
                calls.add(
                        new double[] {
                            at + all[(int) call[1]].nextDelay(Backoff.CALL_TIMEOUT), call[1]
                        });
            } else {
                answered++;
                last = Math.max(last, freeAt);
            }
        }
        assertEquals(answered, dispatchers);
        assertEquals(asked, dispatchers, "some gave up a call that was in the queue");
        assertTrue(last - returns <= 4.8, "the last answer after " + (last - returns));
    }

    /**
     * They part although they fail together and take equally long: in no tenth of a second do many
     * ask.
     */
    @Test
    public void thoseThatFailTogetherAskApart() {
        int dispatchers = 300;
        int[] tenths = new int[32];
        for (int i = 0; i < dispatchers; i++) {
            Backoff backoff = new Backoff(1000 + i);
            double at = 0;
            while (at < 14) {
                at += backoff.nextDelay(0);
            }
            tenths[(int) ((at - 14) * 10)]++;
        }
        int most = Arrays.stream(tenths).max().getAsInt();
        assertTrue(most <= 30, "a tenth of all in one tenth of a second: " + most);
    }
}
