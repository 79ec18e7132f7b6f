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
import wheelroute.net.metrics.Counters;
import wheelroute.net.workers.WorkerConnectionPools;

/** What the decisions are told of a worker's start, on which its slow start depends. */
public class EndpointDirectoryTest {
    private static final double IDLE_SECONDS = 10;

    private ManualClock clock;
    private EndpointDirectory directory;
    private long version;

    @BeforeMethod
    public void begin() {
        clock = new ManualClock();
        clock.stop();
        ControlledEventLoop loop = new ControlledEventLoop(clock, 1);
        Counters counters = new Counters(List.of());
        directory =
                new EndpointDirectory(
                        new WorkerConnectionPools(loop, counters, 10, IDLE_SECONDS),
                        new StartTimes(loop));
    }

    private double startAfterListing(double listed) {
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
    public Object[][] steps() {
        return new Object[][] {{-3600.0}, {-3.0}, {3.0}, {3600.0}};
    }

    /** All machines read one clock, and it is stepped while this process runs. */
    @Test(dataProvider = "steps")
    public void aWorkerThatJoinsAfterAStepHasJustStarted(double step) {
        clock.step(4);
        clock.stepWallClock(step);
        assertEquals(startAfterListing(clock.wallTime()), clock.now(), 0.01);
    }

    /** A worker that is known did not start anew because the clock was stepped. */
    @Test(dataProvider = "steps")
    public void aWorkerThatIsKnownKeepsItsStart(double step) {
        double listed = clock.wallTime() - 100;
        double before = startAfterListing(listed);
        clock.step(4);
        clock.stepWallClock(step);
        assertEquals(startAfterListing(listed), before);
    }

    /** One that starts anew under its name after a step back is listed with an earlier time. */
    @Test
    public void aRestartAfterAStepBackIsALaterStart() {
        double before = startAfterListing(clock.wallTime() - 100);
        clock.step(4);
        clock.stepWallClock(-3600);
        double after = startAfterListing(clock.wallTime());
        assertEquals(after > before, true, before + ", then " + after);
    }
}
