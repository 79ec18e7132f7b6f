package wheelroute.kit.process;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** A herd at the list service is counted as one, wherever its second begins. */
public class DiscoveryCallCounterTest {
    @Test
    public void theBusiestSecondCounts() {
        DiscoveryCallCounter calls = new DiscoveryCallCounter();
        calls.called(0.5);
        calls.beginsNow();
        for (int i = 0; i < 10; i++) {
            calls.called(3.75 + i / 20.0);
        }
        calls.called(4.8);
        calls.called(9);
        assertEquals(calls.all(), 12);
        assertEquals(calls.most(), 10);
    }
}
