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
 * A fleet and a discovery with a queue, computed without clock or sockets. Discovery works through
 * calls in turn, abandoned and failed ones included; it turns a call away at once when its queue is
 * too long, and fails one that has waited for its timeout.
 */
public class CrowdTest {
    private static final int DISPATCHERS = 100;
    private static final double SERVER_TIMEOUT = 2;
    private static final double MAX_BACKLOG = 5;
    private static final double PROMPTLY = 0.02;
    private static final double GIVEN_UP = 60;

    /** One dispatcher's next call, or its failure. */
    private record Call(double time, Dispatcher caller) {}

    private static final class Dispatcher {
        final Backoff backoff;
        final OverloadDetector overload = new OverloadDetector();
        double answeredAt = Double.NaN;

        Dispatcher(long seed) {
            backoff = new Backoff(seed, DISPATCHERS);
        }

        Call retry(double calledAt, double duration, boolean rejected) {
            overload.onFailure(duration, rejected);
            double delay = backoff.nextDelay(duration, overload.isOverloaded());
            return new Call(calledAt + duration + delay, this);
        }
    }

    private final PriorityQueue<Call> calls =
            new PriorityQueue<>(Comparator.comparingDouble(Call::time));
    private double freeAt;

    /** Plays until all are answered; returns the time at which the last one was. */
    private double serveAll(List<Dispatcher> dispatchers, double up, double callsPerSecond) {
        while (!calls.isEmpty() && calls.peek().time < GIVEN_UP) {
            Call call = calls.poll();
            if (call.time < up) {
                calls.add(call.caller.retry(call.time, SERVER_TIMEOUT, true));
            } else if (freeAt - call.time > MAX_BACKLOG) {
                calls.add(call.caller.retry(call.time, PROMPTLY, true));
            } else {
                serve(call, callsPerSecond);
            }
        }
        return dispatchers.stream()
                .mapToDouble(dispatcher -> dispatcher.answeredAt)
                .reduce(0, (a, b) -> Double.isNaN(b) ? Double.POSITIVE_INFINITY : Math.max(a, b));
    }

    private void serve(Call call, double callsPerSecond) {
        freeAt = Math.max(freeAt, call.time) + 1 / callsPerSecond;
        double patience = Math.min(SERVER_TIMEOUT, Backoff.CALL_TIMEOUT_SECONDS);
        if (freeAt - call.time > patience) {
            calls.add(call.caller.retry(call.time, patience, true));
        } else {
            call.caller.answeredAt = freeAt;
        }
    }

    private List<Dispatcher> fleet(long seed) {
        calls.clear();
        freeAt = 0;
        List<Dispatcher> dispatchers = new ArrayList<>();
        for (int i = 0; i < DISPATCHERS; i++) {
            dispatchers.add(new Dispatcher(seed * DISPATCHERS + i));
        }
        return dispatchers;
    }

    @DataProvider
    public Object[][] capacities() {
        return new Object[][] {{18.0}, {20.0}, {35.0}, {100.0}};
    }

    /** All start at once, and have the list before a change at the start must be acted on. */
    @Test(dataProvider = "capacities")
    public void allAreAnsweredAfterTheyStartTogether(double callsPerSecond) {
        for (long seed = 0; seed < 20; seed++) {
            List<Dispatcher> dispatchers = fleet(seed);
            dispatchers.forEach(
                    dispatcher -> calls.add(new Call(dispatcher.backoff.startDelay(), dispatcher)));
            double last = serveAll(dispatchers, 0, callsPerSecond);
            assertTrue(last <= 8, "the last after " + last + " s, seed " + seed);
        }
    }

    /** The same as discovery returns to a whole fleet that has called in vain. */
    @Test(dataProvider = "capacities")
    public void allAreAnsweredAfterAnOutage(double callsPerSecond) {
        double outage = 17;
        for (long seed = 0; seed < 20; seed++) {
            List<Dispatcher> dispatchers = fleet(seed);
            dispatchers.forEach(dispatcher -> calls.add(dispatcher.retry(0, 0, false)));
            double last = serveAll(dispatchers, outage, callsPerSecond);
            assertTrue(last - outage <= 8, "the last after " + (last - outage) + " s");
        }
    }

    /** However long the queue was to begin with, the crowd does not keep it so. */
    @Test
    public void aCrowdDissolves() {
        for (long seed = 0; seed < 20; seed++) {
            List<Dispatcher> dispatchers = fleet(seed);
            freeAt = MAX_BACKLOG;
            dispatchers.forEach(dispatcher -> calls.add(new Call(0, dispatcher)));
            double last = serveAll(dispatchers, 0, 16);
            assertTrue(last <= GIVEN_UP, "somebody was never answered, seed " + seed);
        }
    }

    /** A handful asks at once, and its recovery time is not lengthened. */
    @Test
    public void aSmallFleetIsNotSlowedDown() {
        Backoff few = new Backoff(1, 12);
        assertEquals(few.startDelay(), 0.0);
        for (int i = 0; i < 50; i++) {
            assertTrue(
                    few.nextDelay(0)
                            <= Backoff.MAX_RECOVERY_TIME_SECONDS - Backoff.CALL_TIMEOUT_SECONDS);
        }
    }
}
