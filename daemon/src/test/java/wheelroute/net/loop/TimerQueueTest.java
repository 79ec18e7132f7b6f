package wheelroute.net.loop;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

public class TimerQueueTest {
    private static final int TIMERS = 10_000;
    private static final int MAX_QUEUED = 200;

    private final ManualClock clock = new ManualClock();

    /**
     * Guards against timers that occupy memory until they are due, long after their cancellation.
     */
    @Test
    public void removesCancelledTimers() throws Exception {
        clock.stop();
        TimerQueue timers = new TimerQueue(clock);
        for (int i = 0; i < TIMERS; i++) {
            timers.schedule(20, () -> {}).cancel();
        }
        assertTrue(timers.size() < MAX_QUEUED, timers.size() + " timers are queued");
    }

    @Test
    public void runsRemainingTimersInOrder() throws Exception {
        clock.stop();
        TimerQueue timers = new TimerQueue(clock);
        List<Integer> ran = new ArrayList<>();
        List<Integer> expected = new ArrayList<>();
        for (int i = 0; i < TIMERS; i++) {
            int number = i;
            EventLoop.Timer timer = timers.schedule(1 + i % 2, () -> ran.add(number));
            if (i % 5 == 0) {
                expected.add(number);
            } else {
                timer.cancel();
            }
        }
        clock.advance(5);
        assertEquals(timers.runDue(), Double.POSITIVE_INFINITY);
        expected.sort((a, b) -> a % 2 != b % 2 ? a % 2 - b % 2 : a - b);
        assertEquals(ran, expected);
        assertEquals(timers.size(), 0);
    }
}
