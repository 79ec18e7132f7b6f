package wheelroute.net.workers;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.net.metrics.Counters;

public class InFlightAttemptTest {
    private static final double LIMIT = 100;

    @DataProvider
    public Object[][] moments() {
        // When its connection is up, whether its client still waits, whether it goes, and how it
        // ends.
        return new Object[][] {
            {LIMIT - 0.001, true, true, List.of()},
            {LIMIT, true, false, List.of(AttemptResult.NOT_SENT)},
            {LIMIT + 4, true, false, List.of(AttemptResult.NOT_SENT)},
            {LIMIT - 1, false, false, List.of()},
        };
    }

    /**
     * Its connection may come up in a standstill of the process, and be heard of before its timer.
     */
    @Test(dataProvider = "moments")
    public void nothingGoesOutPastItsLimit(
            double now, boolean wanted, boolean goes, List<AttemptResult> expected) {
        List<AttemptResult> ends = new ArrayList<>();
        AttemptListener listener =
                new AttemptListener() {
                    @Override
                    public boolean isStillNeeded() {
                        return wanted;
                    }

                    @Override
                    public void onStarted() {
                        throw new AssertionError("it has not gone");
                    }

                    @Override
                    public void onProgress(double share) {
                        throw new AssertionError("it has not gone");
                    }

                    @Override
                    public void onEnded(AttemptResult end, byte[] result, double freeSlots) {
                        ends.add(end);
                    }
                };
        AttemptRequest message =
                new AttemptRequest("POST", "/job/x", "77", null, null, new byte[0], true);
        assertEquals(
                new InFlightAttempt(message, LIMIT, listener, new Counters(List.of()))
                        .mayBeSent(now),
                goes);
        assertEquals(ends, expected);
    }
}
