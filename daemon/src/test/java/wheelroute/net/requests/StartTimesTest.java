package wheelroute.net.requests;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.net.loop.ControlledEventLoop;
import wheelroute.net.loop.ManualClock;

/**
 * The wall clocks of all machines are stepped together. Without a conversion, workers that start
 * after a step back skip their slow start, and workers that start after a step forward get nothing.
 */
public class StartTimesTest {
    private static final double NO_STEP_SECONDS = 0;

    private static final double CONNECT_TIMEOUT_SECONDS = 1;

    /** The clocks of two machines may differ by this much. */
    private static final double MAX_CLOCK_SKEW_SECONDS = 1;

    private ManualClock clock;
    private ControlledEventLoop loop;

    @BeforeMethod
    public void createLoop() {
        clock = new ManualClock();
        loop = new ControlledEventLoop(clock, CONNECT_TIMEOUT_SECONDS);
    }

    @DataProvider
    public Object[][] stepSeconds() {
        return new Object[][] {{NO_STEP_SECONDS}, {-3600.0}, {-3.0}, {3.0}, {3600.0}};
    }

    @Test(dataProvider = "stepSeconds")
    public void convertsStartReadAfterStep(double step) {
        clock.stop();
        StartTimes times = new StartTimes(loop);
        clock.stepWallClock(step);
        times.observeWallClock();
        double listed = clock.wallTime() - 2;
        assertEquals(times.toLoopTime(listed), clock.now() - 2, 0.01);
    }

    /** The worker started before the step and is listed after it; it must not count as warm. */
    @Test(dataProvider = "stepSeconds")
    public void doesNotPredateStartReadBeforeStep(double step) {
        clock.stop();
        StartTimes times = new StartTimes(loop);
        double listed = clock.wallTime();
        clock.step(2);
        clock.stepWallClock(step);
        times.observeWallClock();
        double age = clock.now() - times.toLoopTime(listed);
        assertEquals(
                age >= -MAX_CLOCK_SKEW_SECONDS && age <= 2.01,
                true,
                "converted to " + age + " s ago");
    }

    /** The clock was stepped before this process started, so that the step is unknown. */
    @Test
    public void convertsStartInTheFutureToNow() {
        clock.stop();
        StartTimes times = new StartTimes(loop);
        assertEquals(times.toLoopTime(clock.now() + 3600), clock.now());
    }

    @Test
    public void keepsUnknownStart() {
        assertEquals(new StartTimes(loop).toLoopTime(Double.NaN), Double.NaN);
    }

    /** All dispatchers seed random draws with the start times, which must therefore be exact. */
    @Test
    public void keepsStartExactlyWhenClockDrifts() {
        clock.stop();
        StartTimes times = new StartTimes(loop);
        clock.stepWallClock(0.3);
        times.observeWallClock();
        double listed = clock.now() - 7.123;
        assertEquals(times.toLoopTime(listed), listed);
    }
}
