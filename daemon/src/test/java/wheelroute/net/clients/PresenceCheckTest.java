package wheelroute.net.clients;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class PresenceCheckTest {
    private static final int READ_BYTES = 2048;

    @DataProvider
    public Object[][] inputs() {
        // The results of reads, 0 if nothing has arrived and -1 at the end of the stream.
        return new Object[][] {
            {new Integer[] {0}, ClientPresence.CONNECTED},
            {new Integer[] {500, 20, 0}, ClientPresence.CONNECTED},
            {new Integer[] {-1}, ClientPresence.GONE},
            {new Integer[] {500, 20, -1}, ClientPresence.GONE},
        };
    }

    @Test(dataProvider = "inputs")
    public void findsEndOfStreamBehindAllInput(Integer[] reads, ClientPresence expected) {
        Deque<Integer> input = new ArrayDeque<>(Arrays.asList(reads));
        PresenceCheck check = new PresenceCheck(input::poll);
        assertEquals(check.check(PresenceCheck.MAX_BYTES), expected);
        assertTrue(input.isEmpty());
    }

    @Test
    public void treatsBrokenConnectionAsGone() {
        PresenceCheck check =
                new PresenceCheck(
                        () -> {
                            throw new IOException("reset");
                        });
        assertEquals(check.check(PresenceCheck.MAX_BYTES), ClientPresence.GONE);
    }

    /** Guards against attempts for a client whose close is hidden behind more than can be read. */
    @Test
    public void isUncertainWhenMoreInputHasArrivedThanIsRead() {
        int[] total = {0};
        PresenceCheck check =
                new PresenceCheck(
                        () -> {
                            total[0] += READ_BYTES;
                            return READ_BYTES;
                        });
        assertEquals(check.check(PresenceCheck.MAX_BYTES), ClientPresence.UNCERTAIN);
        assertEquals(total[0], PresenceCheck.MAX_BYTES);
    }
}
