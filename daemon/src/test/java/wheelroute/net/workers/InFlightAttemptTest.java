package wheelroute.net.workers;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.net.metrics.Counters;

public class InFlightAttemptTest {
    private static final double DEADLINE_SECONDS = 100;

    @DataProvider
    public Object[][] openedConnections() {
        // Each row has the time at which the connection opens, whether the attempt is still needed,
        // whether it is sent, and the results that the listener receives.
        return new Object[][] {
            {DEADLINE_SECONDS - 0.001, true, true, List.of()},
            {DEADLINE_SECONDS, true, false, List.of(AttemptResult.NOT_SENT)},
            {DEADLINE_SECONDS + 4, true, false, List.of(AttemptResult.NOT_SENT)},
            {DEADLINE_SECONDS - 1, false, false, List.of()},
        };
    }

    /**
     * After a pause of the process, the opened connection may be noticed before the timer of the
     * deadline, and the attempt must not be sent late.
     */
    @Test(dataProvider = "openedConnections")
    public void isSentOnlyBeforeItsDeadlineAndWhileNeeded(
            double now, boolean isNeeded, boolean isSent, List<AttemptResult> expected) {
        List<AttemptResult> results = new ArrayList<>();
        AttemptListener listener = recordingListener(isNeeded, results);
        AttemptRequest request =
                new AttemptRequest("POST", "/job/x", "77", null, null, new byte[0], true);
        InFlightAttempt attempt =
                new InFlightAttempt(
                        request,
                        DEADLINE_SECONDS,
                        Double.POSITIVE_INFINITY,
                        listener,
                        new Counters(List.of()));
        assertEquals(attempt.mayBeSent(now), isSent);
        assertEquals(results, expected);
    }

    private static AttemptListener recordingListener(
            boolean isNeeded, List<AttemptResult> results) {
        return new AttemptListener() {
            @Override
            public boolean isStillNeeded() {
                return isNeeded;
            }

            @Override
            public void onStarted() {
                throw new AssertionError("expected no start of an attempt that was not sent");
            }

            @Override
            public void onProgress(double fraction) {
                throw new AssertionError("expected no progress of an attempt that was not sent");
            }

            @Override
            public void onEnded(AttemptResult result, byte[] body, double freeSlots) {
                results.add(result);
            }
        };
    }
}
