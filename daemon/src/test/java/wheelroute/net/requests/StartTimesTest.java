package wheelroute.net.requests;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.net.loop.ControlledEventLoop;
import wheelroute.net.loop.ManualClock;

/**
 * Conversion of start times when the wall clocks of all machines are stepped together. Without the
 * conversion, workers that start after a step back would skip their slow start, and workers that
 * start after a step forward would get no requests.
 */
public class StartTimesTest {
    private static final double NO_STEP_SECONDS = 0;

    private static final double CONNECT_TIMEOUT_SECONDS = 1;

    /** The maximum difference between the wall clocks of two machines. */
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

    /** A worker that started before the step and is listed after it must not count as warm. */
    @Test(dataProvider = "stepSeconds")
    public void doesNotPredateStartReadBeforeStep(double step) {
        clock.stop();
        StartTimes times = new StartTimes(loop);
        double listed = clock.wallTime();
        clock.advance(2);
        clock.stepWallClock(step);
        times.observeWallClock();
        double age = clock.now() - times.toLoopTime(listed);
        assertEquals(
                age >= -MAX_CLOCK_SKEW_SECONDS && age <= 2.01,
                true,
                "start converted to " + age + " s ago, expected -1 to 2.01 s");
    }

    /** A step of the wall clock before this process started is unknown to the process. */
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

    /** Start times must be exact, because all dispatchers seed random draws with them. */
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
