package wheelroute.kit.process;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public class DiscoveryCallCounterTest {
    @Test
    public void countsCallsWithinAnySecondSinceReset() {
        DiscoveryCallCounter calls = new DiscoveryCallCounter();
        calls.record(0.5);
        calls.reset();
        for (int i = 0; i < 10; i++) {
            calls.record(3.75 + i / 20.0);
        }
        calls.record(4.8);
        calls.record(9);
        assertEquals(calls.total(), 12);
        assertEquals(calls.maxPerSecond(), 10);
    }
}
