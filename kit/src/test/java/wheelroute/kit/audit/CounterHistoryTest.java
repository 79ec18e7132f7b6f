package wheelroute.kit.audit;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public class CounterHistoryTest {
    private static CounterHistory incrementedEverySecond(int seconds) {
        CounterHistory history = new CounterHistory();
        for (int i = 1; i <= seconds; i++) {
            history.add(i, 1);
        }
        return history;
    }

    @Test
    public void returnsValuesWithinRetention() {
        CounterHistory history = incrementedEverySecond(20);
        assertEquals(history.current(), 20);
        assertEquals(history.valueAt(18.5), 18);
        assertEquals(history.min(17, 19), 17);
        assertEquals(history.max(17, 19), 19);
    }

    /** The oldest value that is kept is 15, and the value dropped before it is 14. */
    @Test
    public void returnsLastDroppedValueBeforeRetention() {
        CounterHistory history = incrementedEverySecond(20);
        assertEquals(history.valueAt(14.9), 14);
        assertEquals(history.min(14.9, 20), 14);
    }

    @Test
    public void isZeroBeforeTheFirstChange() {
        assertEquals(incrementedEverySecond(3).valueAt(0.5), 0);
        assertEquals(new CounterHistory().valueAt(1), 0);
    }
}
