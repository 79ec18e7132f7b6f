package wheelroute.net.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link Backoff} and {@link OverloadDetector} in each dispatcher of a large fleet against a
 * model of a discovery with a queue, without clock or sockets.
 *
 * <p>The model serves calls in order, including those that have timed out. It rejects a call
 * promptly if its queue is too long, and fails a call that has waited for the server's timeout.
 */
public class FleetBackoffTest {
    private static final int DISPATCHERS = 100;
    private static final int SEEDS = 20;
    private static final double SERVER_TIMEOUT_SECONDS = 2;
    private static final double MAX_QUEUE_SECONDS = 5;
    private static final double PROMPT_REJECTION_SECONDS = 0.02;
    private static final double OUTAGE_SECONDS = 17;

    /**
     * Maximum time from the start, or from the end of an outage, until all dispatchers have been
     * answered.
     */
    private static final double MAX_RECOVERY_SECONDS = 8;

    /** The simulation ends after this time, even if some dispatchers have not been answered. */
    private static final double END_SECONDS = 60;

    /** The next call of a dispatcher. */
    private record Call(double time, Dispatcher caller) {}

    private static final class Dispatcher {
        final Backoff backoff;
        final OverloadDetector overloadDetector = new OverloadDetector();

        /** The time of the response to a call; NaN until a call has been answered. */
        double answeredAt = Double.NaN;

        Dispatcher(long seed) {
            backoff = new Backoff(seed, DISPATCHERS);
        }

        Call callAfterFailure(double calledAt, double duration, boolean rejected) {
            overloadDetector.onFailure(duration, rejected);
            double delay = backoff.nextDelay(duration, overloadDetector.isOverloaded());
            return new Call(calledAt + duration + delay, this);
        }
    }

    private final PriorityQueue<Call> calls =
            new PriorityQueue<>(Comparator.comparingDouble(Call::time));

    /** The time at which discovery will have served all calls in its queue. */
    private double queueEmptyAt;

    private List<Dispatcher> createFleet(long seed) {
        calls.clear();
        queueEmptyAt = 0;
        List<Dispatcher> dispatchers = new ArrayList<>();
        for (int i = 0; i < DISPATCHERS; i++) {
            dispatchers.add(new Dispatcher(seed * DISPATCHERS + i));
        }
        return dispatchers;
    }

    /**
     * Simulates a discovery that is reachable from a certain time on. Returns the time at which the
     * last dispatcher was answered, or infinity if some were not answered.
     */
    private double simulate(
            List<Dispatcher> dispatchers, double reachableFrom, double callsPerSecond) {
        while (!calls.isEmpty() && calls.peek().time < END_SECONDS) {
            Call call = calls.poll();
            if (call.time < reachableFrom) {
                calls.add(call.caller.callAfterFailure(call.time, SERVER_TIMEOUT_SECONDS, true));
            } else if (queueEmptyAt - call.time > MAX_QUEUE_SECONDS) {
                calls.add(call.caller.callAfterFailure(call.time, PROMPT_REJECTION_SECONDS, true));
            } else {
                enqueue(call, callsPerSecond);
            }
        }
        return dispatchers.stream()
                .mapToDouble(dispatcher -> dispatcher.answeredAt)
                .reduce(0, (a, b) -> Double.isNaN(b) ? Double.POSITIVE_INFINITY : Math.max(a, b));
    }

    private void enqueue(Call call, double callsPerSecond) {
        queueEmptyAt = Math.max(queueEmptyAt, call.time) + 1 / callsPerSecond;
        double timeout = Math.min(SERVER_TIMEOUT_SECONDS, Backoff.CALL_TIMEOUT_SECONDS);
        if (queueEmptyAt - call.time > timeout) {
            calls.add(call.caller.callAfterFailure(call.time, timeout, true));
        } else {
            call.caller.answeredAt = queueEmptyAt;
        }
    }

    @DataProvider
    public Object[][] callsPerSecond() {
        return new Object[][] {{18.0}, {20.0}, {35.0}, {100.0}};
    }

    @Test(dataProvider = "callsPerSecond")
    public void answersAllDispatchersAfterSimultaneousStart(double callsPerSecond) {
        for (long seed = 0; seed < SEEDS; seed++) {
            List<Dispatcher> dispatchers = createFleet(seed);
            dispatchers.forEach(
                    dispatcher -> calls.add(new Call(dispatcher.backoff.startDelay(), dispatcher)));
            double last = simulate(dispatchers, 0, callsPerSecond);
            assertTrue(
                    last <= MAX_RECOVERY_SECONDS,
                    "last dispatcher answered after " + last + " s, seed " + seed);
        }
    }

    @Test(dataProvider = "callsPerSecond")
    public void answersAllDispatchersAfterOutage(double callsPerSecond) {
        for (long seed = 0; seed < SEEDS; seed++) {
            List<Dispatcher> dispatchers = createFleet(seed);
            dispatchers.forEach(dispatcher -> calls.add(dispatcher.callAfterFailure(0, 0, false)));
            double last = simulate(dispatchers, OUTAGE_SECONDS, callsPerSecond);
            double recoveredAfter = last - OUTAGE_SECONDS;
            assertTrue(
                    recoveredAfter <= MAX_RECOVERY_SECONDS,
                    "last dispatcher answered "
                            + recoveredAfter
                            + " s after the end of the outage");
        }
    }

    /**
     * The calls of the fleet must not keep a queue of discovery that is full at the start at its
     * initial length.
     */
    @Test
    public void answersAllDispatchersInSpiteOfInitialBacklog() {
        for (long seed = 0; seed < SEEDS; seed++) {
            List<Dispatcher> dispatchers = createFleet(seed);
            queueEmptyAt = MAX_QUEUE_SECONDS;
            dispatchers.forEach(dispatcher -> calls.add(new Call(0, dispatcher)));
            double last = simulate(dispatchers, 0, 16);
            assertTrue(last <= END_SECONDS, "not all dispatchers were answered, seed " + seed);
        }
    }

    @Test
    public void keepsRecoveryTimeOfSmallFleet() {
        Backoff backoff = new Backoff(1, 12);
        assertEquals(backoff.startDelay(), 0.0);
        for (int i = 0; i < 50; i++) {
            assertTrue(
                    backoff.nextDelay(0, false)
                            <= Backoff.MAX_RECOVERY_TIME_SECONDS - Backoff.CALL_TIMEOUT_SECONDS);
        }
    }
}
