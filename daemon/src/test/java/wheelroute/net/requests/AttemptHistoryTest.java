package wheelroute.net.requests;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.EarlierAttempt;
import wheelroute.decision.Ids;
import wheelroute.net.memory.MemoryQuota;

public class AttemptHistoryTest {
    private static final double RETENTION_SECONDS = 30;
    private static final long QUOTA_BYTES = 2600;
    private static final EarlierAttempt ATTEMPT =
            new EarlierAttempt(new Ids.Zone("north \"1\""), new Ids.Cell(3), 95);
    private static final EarlierAttempt OTHER_ATTEMPT =
            new EarlierAttempt(new Ids.Zone(""), new Ids.Cell(-1), 99.5);

    private final MemoryQuota quota = new MemoryQuota(QUOTA_BYTES);

    private AttemptHistory history() {
        return new AttemptHistory(new MemoryQuota(QUOTA_BYTES), RETENTION_SECONDS, 20);
    }

    @Test
    public void remembersAttemptsUntilRetentionHasPassed() {
        AttemptHistory history = history();
        assertNull(history.add("none", List.of(), 100));
        history.add("one", List.of(ATTEMPT, OTHER_ATTEMPT), 100);
        assertEquals(history.attemptsOf("one", 129.9), List.of(ATTEMPT, OTHER_ATTEMPT));
        assertEquals(history.attemptsOf("none", 100), List.of());
        assertEquals(history.attemptsOf("one", 130), List.of());
        assertEquals(history.all(130), List.of());
    }

    @DataProvider
    public Object[][] retentions() {
        // The longest timeout, the longest window, and how long requests are remembered.
        return new Object[][] {{20.0, 5.0, 20.0}, {20.0, 30.0, 30.0}, {20.0, 7200.0, 60.0}};
    }

    /** Guards against rejections because a window of hours uses up the memory. */
    @Test(dataProvider = "retentions")
    public void forgetsRequestsAfterTimeoutAndWindow(
            double timeoutSeconds, double windowSeconds, double retentionSeconds) {
        AttemptHistory history = new AttemptHistory(quota, timeoutSeconds, windowSeconds);
        history.add("one", List.of(ATTEMPT), 100);
        assertEquals(history.all(100 + retentionSeconds - 0.1).size(), 1);
        assertEquals(history.all(100 + retentionSeconds), List.of());
    }

    /** Guards against memory that grows with each new id. */
    @Test
    public void hasMemoryForLimitedNumberOfRequests() {
        AttemptHistory history = new AttemptHistory(quota, 20, RETENTION_SECONDS);
        int count = 0;
        while (history.hasMemory("id" + count, 100)) {
            history.add("id" + count++, List.of(ATTEMPT), 100);
        }
        assertEquals(count, 10);
        assertFalse(history.hasMemory("x", 129.9));
        assertTrue(history.hasMemory("x", 130));
        assertTrue(quota.tryReserve((int) QUOTA_BYTES), "memory was not returned");
    }

    @Test
    public void mergesAttemptsOfOtherProcessesOnce() throws IOException {
        AttemptHistory history = history();
        history.add("one", List.of(ATTEMPT), 100);
        String imported =
                AttemptHistoryCodec.encode(
                        new AttemptHistory.Entry("one", List.of(ATTEMPT, OTHER_ATTEMPT)), 100);
        history.merge(AttemptHistoryCodec.decode(imported, 100), 110);
        assertEquals(history.attemptsOf("one", 139), List.of(ATTEMPT, OTHER_ATTEMPT));
        assertEquals(history.all(110).size(), 1);
    }

    @Test
    public void encodesTimesAsAges() throws IOException {
        AttemptHistory.Entry entry = new AttemptHistory.Entry("a b", List.of(ATTEMPT));
        String text = AttemptHistoryCodec.encode(entry, 100);
        assertEquals(text, "{\"id\":\"a b\",\"attempts\":[\"north \\\"1\\\"\",3,5.0]}");
        AttemptHistory.Entry decoded = AttemptHistoryCodec.decode(text, 1000);
        assertEquals(decoded.clientId(), "a b");
        assertEquals(decoded.attempts().get(0).sentAt(), 995.0);
    }

    @DataProvider
    public Object[][] malformedEntries() {
        return new Object[][] {
            {""},
            {"{}"},
            {"[]"},
            {"{\"id\":\"a\",\"attempts\":[3]}"},
            {"{\"id\":\"a\",\"attempts\":[\"z\"]}"},
            {"{\"id\":\"a\",\"attempts\":[\"z\",1"},
            {"{\"id\":\"a\",\"attempts\":{}}"},
            {"{\"attempts\":[]}"},
        };
    }

    @Test(dataProvider = "malformedEntries")
    public void rejectsMalformedEntry(String text) {
        assertThrows(IOException.class, () -> AttemptHistoryCodec.decode(text, 100));
    }
}
