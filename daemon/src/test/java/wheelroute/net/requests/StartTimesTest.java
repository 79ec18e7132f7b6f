package wheelroute.net.requests;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.net.loop.ControlledEventLoop;
import wheelroute.net.loop.ManualClock;

/**
 * Seen: after the wall clocks of all machines were stepped an hour back, new workers got 56
 * attempts in their first 2 s, where slow start lets 1 through; after a step forward they got none
 * in 10 s. A start time by the stepped clock was compared with a time that goes on as before.
 */
public class StartTimesTest {
    private static final double NOT_STEPPED = 0;

    /** Machines' clocks may differ by this much. */
    private static final double SKEW = 1;

    private ManualClock clock;
    private ControlledEventLoop loop;

    @BeforeMethod
    public void begin() {
        clock = new ManualClock();
        loop = new ControlledEventLoop(clock, 1);
    }

    @DataProvider
    public Object[][] steps() {
        return new Object[][] {{NOT_STEPPED}, {-3600.0}, {-3.0}, {3.0}, {3600.0}};
    }

    /** Its machine reads the clock after the step. */
    @Test(dataProvider = "steps")
    public void aWorkerThatStartsAfterTheStepHasJustStarted(double step) {
        clock.stop();
        StartTimes times = new StartTimes(loop);
        clock.stepWallClock(step);
        times.observeWallClock();
        double listed = clock.wallTime() - 2;
        assertEquals(times.toTimeLine(listed), clock.now() - 2, 0.01);
    }

    /** Its machine read the clock before the step, and it is listed only after it. */
    @Test(dataProvider = "steps")
    public void aWorkerThatStartedBeforeTheStepIsNotTakenForWarm(double step) {
        clock.stop();
        StartTimes times = new StartTimes(loop);
        double listed = clock.wallTime();
        clock.step(2);
        clock.stepWallClock(step);
        times.observeWallClock();
        double age = clock.now() - times.toTimeLine(listed);
        assertEquals(
                age >= -SKEW && age <= 2.01, true, "it is taken to have started " + age + " s ago");
    }

    /** The step was before this process: it cannot know which, and does not wait for an hour. */
    @Test
    public void aStartInTheFutureIsNow() {
        clock.stop();
        StartTimes times = new StartTimes(loop);
        assertEquals(times.toTimeLine(clock.now() + 3600), clock.now());
    }

    @Test
    public void whatIsUnknownStaysUnknown() {
        assertEquals(new StartTimes(loop).toTimeLine(Double.NaN), Double.NaN);
    }

    /**
     * Without a step times are what was listed, to the last digit: all dispatchers draw by them.
     */
    @Test
    public void aClockThatDriftsChangesNothing() {
        clock.stop();
        StartTimes times = new StartTimes(loop);
        clock.stepWallClock(0.3);
        times.observeWallClock();
        double listed = clock.now() - 7.123;
        assertEquals(times.toTimeLine(listed), listed);
    }
}
