package wheelroute.kit.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import wheelroute.kit.model.FinalResponse;

public class LoadStatisticsTest {
    private static LoadStatistics statistics() {
        LoadStatistics statistics = new LoadStatistics();
        for (int i = 0; i < 6; i++) {
            assertEquals(statistics.onSent(), i);
        }
        statistics.onResponse(FinalResponse.SUCCEEDED, 0.010);
        statistics.onResponse(FinalResponse.REJECTED, 0.010);
        statistics.onRefused();
        statistics.onConnectionLost();
        statistics.onTimeout();
        return statistics;
    }

    @Test
    public void countsHowRequestsEnded() {
        LoadStatistics statistics = statistics();
        String text = statistics.text(2, 1, false);
        assertEquals(statistics.sent(), 6);
        assertEquals(statistics.succeeded(), 1);
        assertTrue(text.startsWith("6 requests sent in 2.0 s, 3/s\n"), text);
        assertTrue(
                text.contains(
                        "connections refused: 1, connections lost: 1, timed out: 1, in flight: 1"),
                text);
        assertTrue(text.contains("latency, ms: p50 10."), text);
    }

    @Test
    public void correctsLatencyOfClosedLoopsOnly() {
        assertTrue(statistics().text(2, 1, true).contains("coordinated omission"));
        assertFalse(statistics().text(2, 1, false).contains("coordinated omission"));
    }
}
