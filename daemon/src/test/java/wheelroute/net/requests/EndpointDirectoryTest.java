package wheelroute.net.requests;

import static org.testng.Assert.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Endpoint;
import wheelroute.net.discovery.EndpointList;
import wheelroute.net.loop.ControlledEventLoop;
import wheelroute.net.loop.ManualClock;
import wheelroute.net.memory.ResponseMemory;
import wheelroute.net.metrics.Counters;
import wheelroute.net.workers.WorkerConnectionPools;

/**
 * Start times of workers when the wall clock is stepped. The slow start of a worker depends on the
 * start time, so that a wrong one would overload the worker or leave it unused.
 */
public class EndpointDirectoryTest {
    private static final double CONNECT_TIMEOUT_SECONDS = 1;
    private static final double IDLE_SECONDS = 10;

    private ManualClock clock;
    private EndpointDirectory directory;
    private long version;

    @BeforeMethod
    public void createDirectory() {
        clock = new ManualClock();
        clock.stop();
        ControlledEventLoop loop = new ControlledEventLoop(clock, CONNECT_TIMEOUT_SECONDS);
        Counters counters = new Counters(List.of());
        directory =
                new EndpointDirectory(
                        new WorkerConnectionPools(
                                loop, counters, new ResponseMemory(0), 10, IDLE_SECONDS),
                        new StartTimes(loop));
    }

    private double startedAtAfterListing(double listed) {
        EndpointList.Entry entry =
                new EndpointList.Entry(
                        "w",
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 9),
                        "here",
                        "m",
                        1,
                        Endpoint.State.READY,
                        1,
                        listed);
        EndpointDirectory.Update update =
                directory.apply(new EndpointList(++version, true, List.of(entry)));
        return update.endpoints().get(0).startedAt();
    }

    @DataProvider
    public Object[][] stepSeconds() {
        return new Object[][] {{-3600.0}, {-3.0}, {3.0}, {3600.0}};
    }

    /** The wall clocks of all machines are stepped while this process runs. */
    @Test(dataProvider = "stepSeconds")
    public void convertsStartOfWorkerThatJoinsAfterStep(double step) {
        clock.advance(4);
        clock.stepWallClock(step);
        assertEquals(startedAtAfterListing(clock.wallTime()), clock.now(), 0.01);
    }

    @Test(dataProvider = "stepSeconds")
    public void keepsStartOfKnownWorkerAfterStep(double step) {
        double listed = clock.wallTime() - 100;
        double before = startedAtAfterListing(listed);
        clock.advance(4);
        clock.stepWallClock(step);
        assertEquals(startedAtAfterListing(listed), before);
    }

    /** After a step back a restarted worker is listed with an earlier start time than before. */
    @Test
    public void reportsLaterStartOfWorkerThatRestartsAfterStepBack() {
        double before = startedAtAfterListing(clock.wallTime() - 100);
        clock.advance(4);
        clock.stepWallClock(-3600);
        double after = startedAtAfterListing(clock.wallTime());
        assertEquals(
                after > before,
                true,
                "start " + before + ", then " + after + ", expected a later one");
    }
}
