package wheelroute.net.history;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.EarlierAttempt;
import wheelroute.decision.Ids;

public class AttemptHistoryTest {
    private static final long LIMIT_BYTES = 2L * 1024 * 1024;
    private static final long SMALLEST_LIMIT_BYTES = (long) (0.05 * 16 * 1024 * 1024);
    private static final double START = 1.7e9;
    private static final double RETENTION_SECONDS = 50;
    private static final int CLIENTS = 500;
    private static final long SEED = 7;
    private static final Ids.Zone ZONE = new Ids.Zone("north \"1\"");

    private static AttemptHistory history(long limitBytes, double retentionSeconds) {
        return new AttemptHistory(limitBytes, retentionSeconds, CLIENTS, SEED);
    }

    private static long hash(AttemptHistory history, int key) {
        return history.hash(new RequestIdentity("keyed", "key" + key));
    }

    private static EarlierAttempt attempt(long cell, double sentAt) {
        return new EarlierAttempt(ZONE, new Ids.Cell(cell), sentAt);
    }

    private static boolean add(
            AttemptHistory history, int client, int key, double retentionSeconds, double now) {
        if (!history.reserve(client, retentionSeconds, now)) {
            return false;
        }
        history.add(hash(history, key), attempt(key % 40, now), retentionSeconds, now);
        return true;
    }

    @DataProvider
    public Object[][] retentions() {
        return new Object[][] {{2.0}, {RETENTION_SECONDS}, {3620.0}};
    }

    @Test(dataProvider = "retentions")
    public void remembersGroupAndTimeUntilRetentionHasPassed(double retentionSeconds) {
        AttemptHistory history = history(LIMIT_BYTES, retentionSeconds);
        double tickSeconds = history.tickSeconds();
        assertTrue(add(history, 0, 3, retentionSeconds, START));
        for (double age = 0; age < retentionSeconds; age += retentionSeconds / 50) {
            EarlierAttempt found = history.find(hash(history, 3), retentionSeconds, START + age);
            assertEquals(found.zone(), ZONE);
            assertEquals(found.cell(), new Ids.Cell(3));
            assertTrue(found.sentAt() < START + 1e-6 && found.sentAt() > START - 2 * tickSeconds);
            assertNull(history.find(hash(history, 4), retentionSeconds, START + age));
        }
        double forgottenAt =
                START + retentionSeconds + (AttemptHistory.SLACK_TICKS + 1) * tickSeconds;
        assertNull(history.find(hash(history, 3), retentionSeconds, forgottenAt));
        history.find(hash(history, 4), retentionSeconds, START + 2 * retentionSeconds);
        assertEquals(history.size(), 0);
    }

    /** Guards against memory for fewer requests than a window of 30 s or an hour brings. */
    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {LIMIT_BYTES, 1900, 50.0},
            {SMALLEST_LIMIT_BYTES, 1900, 50.0},
            {LIMIT_BYTES, 100, 3620.0},
        };
    }

    @Test(dataProvider = "loads")
    public void remembersAllRequestsOfSteadyLoad(
            long limitBytes, int requestsPerSecond, double retentionSeconds) {
        AttemptHistory history = history(limitBytes, retentionSeconds);
        int remembered = (int) (requestsPerSecond * retentionSeconds);
        int collisions = 0;
        for (int key = 0; key < 2 * remembered; key++) {
            double now = START + key / (double) requestsPerSecond;
            collisions += history.find(hash(history, key), retentionSeconds, now) == null ? 0 : 1;
            assertTrue(add(history, key % 20, key, retentionSeconds, now), "request " + key);
            int old = key - remembered + 1;
            if (old >= 0) {
                EarlierAttempt found = history.find(hash(history, old), retentionSeconds, now);
                assertNotNull(found, "request " + old);
            }
        }
        assertTrue(collisions < 2 * remembered / 10_000, collisions + " collisions");
    }

    @Test
    public void neverExceedsItsMemory() {
        int slots = FingerprintTable.slotsPerBucket(LIMIT_BYTES);
        long bits =
                (long) slots
                        * (1 << FingerprintTable.BUCKET_BITS)
                        * (FingerprintTable.TAG_BITS + FingerprintTable.VALUE_BITS);
        assertTrue(bits / Byte.SIZE <= LIMIT_BYTES);
        assertTrue(FingerprintTable.capacity(slots) >= 362_000);
    }

    /** Many requests of some clients, and few of others: the latter are not rejected. */
    @Test
    public void rejectsOnlyClientsThatHoldMuchWhenFull() {
        AttemptHistory history = history(SMALLEST_LIMIT_BYTES, RETENTION_SECONDS);
        int key = 0;
        int rejected = 0;
        for (double now = START; now < START + 3 * RETENTION_SECONDS; now += 0.05) {
            for (int i = 0; i < 300; i++) {
                rejected += add(history, i % 30, key++, RETENTION_SECONDS, now) ? 0 : 1;
            }
            int usual = 30 + (int) (20 * (now - START)) % 10;
            assertTrue(add(history, usual, key++, RETENTION_SECONDS, now), "at " + now);
        }
        assertTrue(rejected > history.capacity());
        assertTrue(history.size() > 0.95 * history.capacity());
    }

    /** A client that uses a connection once has the number of one that has just closed. */
    @Test
    public void countsEntriesOfClosedConnections() {
        AttemptHistory history = history(SMALLEST_LIMIT_BYTES, RETENTION_SECONDS);
        int key = 0;
        while (add(history, 0, key, RETENTION_SECONDS, START)) {
            key++;
        }
        assertTrue(key > 0.95 * history.capacity());
        assertTrue(add(history, 1, key + 1, RETENTION_SECONDS, START));
        assertFalse(add(history, 0, key + 2, RETENTION_SECONDS, START));
        double later = START + 1.3 * RETENTION_SECONDS;
        assertTrue(add(history, 0, key + 2, RETENTION_SECONDS, later));
        assertEquals(history.size(), 1);
    }

    @Test
    public void returnsUnusedReservationsAndForgetsWhatNeverRan() {
        AttemptHistory history = history(SMALLEST_LIMIT_BYTES, RETENTION_SECONDS);
        for (int key = 0; key < 2 * history.capacity(); key++) {
            assertTrue(history.reserve(0, RETENTION_SECONDS, START));
            if (key % 2 == 0) {
                history.release(0, RETENTION_SECONDS, START, START);
            } else {
                history.add(hash(history, key), attempt(1, START), RETENTION_SECONDS, START);
                history.remove(hash(history, key));
                history.forgetShare(0, RETENTION_SECONDS, START, START);
            }
        }
        assertEquals(history.size(), 0);
    }

    @Test
    public void transfersAllEntriesToProcessWithOtherSeed() throws IOException {
        AttemptHistory exporting = history(LIMIT_BYTES, RETENTION_SECONDS);
        AttemptHistory importing =
                new AttemptHistory(SMALLEST_LIMIT_BYTES, 2 * RETENTION_SECONDS, CLIENTS, 8);
        int count = 3 * AttemptHistoryTransfer.ENTRIES_PER_LINE / 2;
        for (int key = 0; key < count; key++) {
            assertTrue(add(exporting, 0, key, RETENTION_SECONDS, START));
        }
        List<String> lines = new ArrayList<>();
        new AttemptHistoryTransfer(exporting).export(START + 20).forEachRemaining(lines::add);
        assertEquals(lines.size(), 2);
        for (String line : lines) {
            assertEquals(line.indexOf('\n'), -1);
            new AttemptHistoryTransfer(importing).importLine(line, 520);
        }
        assertEquals(importing.size(), count);
        for (int key = 0; key < count; key++) {
            EarlierAttempt found = importing.find(hash(exporting, key), RETENTION_SECONDS, 549.9);
            assertEquals(found.cell(), new Ids.Cell(key % 40));
            assertEquals(found.sentAt(), 500, 4 * importing.tickSeconds());
            assertTrue(found.sentAt() < 500 + 1e-6);
        }
    }

    @Test
    public void keepsOlderOfTwoAttemptsOfOneRequest() {
        AttemptHistory history = history(LIMIT_BYTES, RETENTION_SECONDS);
        long hash = hash(history, 1);
        history.merge(hash, attempt(1, START), RETENTION_SECONDS, START + 5);
        history.merge(hash, attempt(2, START + 4), RETENTION_SECONDS, START + 5);
        assertEquals(history.find(hash, RETENTION_SECONDS, START + 5).cell(), new Ids.Cell(1));
        history.merge(hash, attempt(3, START - 4), RETENTION_SECONDS, START + 5);
        assertEquals(history.find(hash, RETENTION_SECONDS, START + 5).cell(), new Ids.Cell(3));
    }

    /** More cells than there are numbers for: the rest is restricted, but none is mistaken. */
    @Test
    public void neverMistakesOneCellForAnother() {
        AttemptHistory history = history(LIMIT_BYTES, RETENTION_SECONDS);
        for (int key = 0; key < 3000; key++) {
            history.put(hash(history, key), attempt(key, START), RETENTION_SECONDS, START);
        }
        int known = 0;
        for (int key = 0; key < 3000; key++) {
            EarlierAttempt found = history.find(hash(history, key), RETENTION_SECONDS, START);
            assertTrue(found.cell() == null || found.cell().equals(new Ids.Cell(key)));
            known += found.cell() == null ? 0 : 1;
        }
        assertEquals(known, (1 << WorkerGroups.INDEX_BITS) - 1);
        history.find(0, RETENTION_SECONDS, START + 2 * RETENTION_SECONDS);
        history.put(1, attempt(9999, START + 100), RETENTION_SECONDS, START + 100);
        assertEquals(history.find(1, RETENTION_SECONDS, START + 100).cell(), new Ids.Cell(9999));
    }

    @DataProvider
    public Object[][] malformedLines() {
        String line = "{\"seed\":7,\"tick\":1,\"groups\":[G],\"entries\":\"E\"}";
        return new Object[][] {
            {""},
            {"{}"},
            {"[]"},
            {line.replace("E", "AAAA").replace("G", "")},
            {line.replace("E", "").replace("G", "1")},
            {line.replace("E", "").replace("G", "5000,\"z\",1")},
            {line.replace("E", "").replace("G", "1,\"z\"")},
            {line.replace("E", "").replace("G", "").replace("1,", "0,")},
            {line.replace("E", "%%").replace("G", "")},
        };
    }

    @Test(dataProvider = "malformedLines")
    public void rejectsMalformedLine(String line) {
        AttemptHistory history = history(LIMIT_BYTES, RETENTION_SECONDS);
        AttemptHistoryTransfer transfer = new AttemptHistoryTransfer(history);
        assertThrows(IOException.class, () -> transfer.importLine(line, START));
        assertEquals(history.size(), 0);
    }
}
