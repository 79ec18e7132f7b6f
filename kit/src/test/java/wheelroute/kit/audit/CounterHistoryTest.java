package wheelroute.kit.audit;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Values of the last few seconds, against which counters of a dispatcher are judged. */
public class CounterHistoryTest {
    private static CounterHistory counted(int seconds) {
        CounterHistory history = new CounterHistory();
        for (int i = 1; i <= seconds; i++) {
            history.add(i, 1);
        }
        return history;
    }

    @Test
    public void knowsTheValuesThatAreKept() {
        CounterHistory history = counted(20);
        assertEquals(history.current(), 20);
        assertEquals(history.valueAt(18.5), 18);
        assertEquals(history.min(17, 19), 17);
        assertEquals(history.max(17, 19), 19);
    }

    /** Seen: a counter that had stood at 14 was taken to have been 0 just before it was kept. */
    @Test
    public void didNotBeginAtZeroBeforeWhatIsKept() {
        CounterHistory history = counted(20);
        assertEquals(history.valueAt(14.9), 14);
        assertEquals(history.min(14.9, 20), 14);
    }

    @Test
    public void isZeroBeforeTheFirstChange() {
        assertEquals(counted(3).valueAt(0.5), 0);
        assertEquals(new CounterHistory().valueAt(1), 0);
    }
}
