package wheelroute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Idempotency;
import wheelroute.decision.Outcome;
import wheelroute.decision.RequestHandle;

/**
 * The rule on keys: one at a time, in the order of their taking, and a rest after what may still
 * run.
 */
public class OrderTest {
    private static final double QUOTED = 1;
    private SimulatedWorld.Given given;

    @BeforeMethod
    public void plainSettings() {
        given = new SimulatedWorld.Given();
        given.inTurn = true;
        given.effect = Idempotency.NON_IDEMPOTENT;
    }

    private SimulatedWorld world() {
        return new SimulatedWorld(given).list(4);
    }

    private static RequestHandle take(SimulatedWorld w, String key) {
        return take(w, "job", key);
    }

    private static RequestHandle take(SimulatedWorld w, String offering, String key) {
        return w.take(offering, "t", 0.1, w.now + SimulatedWorld.LIMIT, key);
    }

    @DataProvider
    public Object[][] neighbours() {
        return new Object[][] {
            // the second one's offering and key, whether the offerings keep order, whether it goes
            // at once
            {"job", "a", true, false},
            {"patient", "a", true, false},
            {"job", "b", true, true},
            {"job", null, true, true},
            {"job", "a", false, true},
        };
    }

    @Test(dataProvider = "neighbours")
    public void whoWaitsForWhom(String offering, String key, boolean inTurn, boolean atOnce) {
        given.inTurn = inTurn;
        SimulatedWorld w = world();
        take(w, "a");
        take(w, offering, key);
        assertEquals(w.count("launch"), atOnce ? 2 : 1);
    }

    @DataProvider
    public Object[][] ends() {
        return new Object[][] {
            // how the first one's only launch ended, how long the key rests after it
            {Outcome.SUCCEEDED, 0.0},
            {Outcome.FAILED, 0.0},
            {Outcome.INVALID_REQUEST, 0.0},
            {Outcome.TIMED_OUT, 0.2},
            {Outcome.CONNECTION_LOST, 0.2},
            {Outcome.CANCELLED, 0.2},
            {Outcome.STALE_CONNECTION, 0.2},
            {Outcome.UNKNOWN, 0.2},
        };
    }

    @Test(dataProvider = "ends")
    public void theNextGoesWhenTheFirstIsOverAndItsKeyHasRested(Outcome outcome, double rest) {
        SimulatedWorld w = world();
        RequestHandle first = take(w, "a");
        take(w, "a");
        w.pass(0.1).end(first, 0, outcome);
        assertTrue(first.isComplete());
        assertEquals(w.count("launch"), rest > 0 ? 1 : 2, w.did.toString());
        w.pass(0.19).policy.onWakeup();
        assertEquals(w.count("launch"), rest > 0 ? 1 : 2, w.did.toString());
        w.pass(0.02).policy.onWakeup();
        assertEquals(w.count("launch"), 2, w.did.toString());
    }

    /** A rest also holds for one that is taken while it lasts, and nothing else has to wake it. */
    @Test
    public void aRestIsKeptByWhoComesIntoItAndEndsByItself() {
        SimulatedWorld w = world();
        RequestHandle first = take(w, "a");
        w.end(first, 0, Outcome.CONNECTION_LOST);
        w.pass(0.05);
        take(w, "a");
        assertEquals(w.count("launch"), 1);
        assertEquals(w.wakes.get(w.wakes.size() - 1), w.now + 0.15, 1e-9);
        w.pass(0.15 + 1e-6).policy.onWakeup();
        assertEquals(w.count("launch"), 2);
    }

    /** However many rests there are, each has one wake: they must not call for one another. */
    @Test
    public void wakesDoNotMultiply() {
        SimulatedWorld w = world();
        for (int i = 0; i < 10; i++) {
            w.end(take(w, "key" + i), 0, Outcome.CONNECTION_LOST);
            take(w, "key" + i);
        }
        w.wakes.clear();
        for (int i = 0; i < 19; i++) {
            w.pass(0.01).policy.onWakeup();
        }
        assertTrue(w.wakes.size() <= 4, w.wakes.toString());
    }

    /** The one whose turn it is may be tried again and copied as ever. */
    @Test
    public void theFirstGoesOnWithoutARest() {
        given.effect = Idempotency.IDEMPOTENT;
        SimulatedWorld w = world();
        RequestHandle first = take(w, "a");
        take(w, "a");
        w.end(first, 0, Outcome.CONNECTION_LOST);
        assertEquals(w.count("launch 1 "), 2, w.did.toString());
        w.end(first, 1, Outcome.SUCCEEDED);
        w.pass(0.19).policy.onWakeup();
        assertEquals(w.count("launch 2 "), 0, "the break of its first launch still counts");
        w.pass(0.02).policy.onWakeup();
        assertEquals(w.count("launch 2 "), 1);
    }

    /** A client that leaves is done with, but its key is not free before its launch has ended. */
    @Test
    public void aClientThatLeavesGivesUpItsPlace() {
        SimulatedWorld w = world();
        RequestHandle first = take(w, "a");
        RequestHandle second = take(w, "a");
        take(w, "a");
        second.onClientGone();
        assertTrue(second.isComplete());
        first.onClientGone();
        assertEquals(w.last(), "cancel 1 0");
        w.pass(0.1).policy.onWakeup();
        assertEquals(w.count("launch"), 1);
        w.end(first, 0, Outcome.CANCELLED);
        w.pass(0.21).policy.onWakeup();
        assertEquals(w.last().substring(0, 8), "launch 3", w.did.toString());
    }

    /** A line longer than the quoted time lasts: the last ones hear at once, and when to come. */
    @Test
    public void whoCannotBeInTimeIsToldAtOnce() {
        SimulatedWorld w = world();
        for (int i = 0; i < 30; i++) {
            w.take("job", "t", 0.2, w.now + SimulatedWorld.LIMIT, "a");
        }
        long told = w.count("bounce");
        assertTrue(told >= 20, "told " + told);
        assertEquals(w.count("launch"), 1);
        assertTrue(
                w.advised >= QUOTED && w.advised <= given.retryAfter,
                "come back after " + w.advised);
    }

    /**
     * One of great value behind lesser ones of its key, which run long: the lesser one gives way.
     */
    @Test
    public void whatIsWorthLessGivesWay() {
        given.patientValue = 0.1;
        SimulatedWorld w = world();
        w.take("job", "t", 0.5, w.now + SimulatedWorld.LIMIT, "a");
        RequestHandle lesser = w.take("patient", "t", 3, w.now + SimulatedWorld.LIMIT, "a");
        RequestHandle more = w.take("job", "t", 0.1, w.now + SimulatedWorld.LIMIT, "a");
        assertTrue(lesser.isComplete());
        assertFalse(more.isComplete());
        assertEquals(w.did.get(w.did.size() - 1), "bounce 2");
    }

    @DataProvider
    public Object[][] limits() {
        return new Object[][] {{0.15}, {0.5}, {0.9}};
    }

    /** The head never reports: whoever waits is answered before its own outer limit, once. */
    @Test(dataProvider = "limits")
    public void whoWaitsIsAnsweredBeforeItsLimit(double limit) {
        SimulatedWorld w = world();
        take(w, "a");
        double end = w.now + limit;
        RequestHandle waits = w.take("job", "t", 0.1, end, "a");
        while (!waits.isComplete() && w.now < end) {
            w.pass(0.1).policy.onWakeup();
        }
        assertTrue(waits.isComplete() && w.now < end, "answered by " + w.now + " of " + end);
        waits.onDeadline();
        waits.onClientGone();
        assertEquals(w.count("bounce"), 1, w.did.toString());
    }

    /** A driver whose timer is late tells it so itself; its place is free at once. */
    @Test
    public void theDriverMayEndWhatWaits() {
        SimulatedWorld w = world();
        RequestHandle first = take(w, "a");
        RequestHandle second = take(w, "a");
        take(w, "a");
        second.onDeadline();
        first.onDeadline();
        assertEquals(w.count("bounce"), 1, "the first has a launch out, whose end comes");
        w.end(first, 0, Outcome.SUCCEEDED);
        assertEquals(w.last().substring(0, 8), "launch 3");
    }

    /** Long random histories, checked against the rule's own words. */
    @Test
    public void randomHistoriesKeepTheRule() {
        for (int seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            given.effect = Idempotency.values()[seed % 3];
            SimulatedWorld w = world();
            List<RequestHandle> handles = new ArrayList<>();
            List<Integer> keys = new ArrayList<>();
            List<List<Integer>> out = new ArrayList<>();
            double[] rest = new double[3];
            int seen = 0;
            for (int step = 0; step < 400; step++) {
                w.pass(0.01 + 0.05 * random.nextDouble());
                int pick = handles.isEmpty() ? 0 : random.nextInt(handles.size());
                if (step < 200 && random.nextInt(3) == 0) {
                    keys.add(random.nextInt(3));
                    out.add(new ArrayList<>());
                    handles.add(take(w, "k" + keys.get(keys.size() - 1)));
                } else if (!handles.isEmpty() && !out.get(pick).isEmpty()) {
                    Outcome outcome =
                            random.nextInt(3) > 0
                                    ? Outcome.SUCCEEDED
                                    : Outcome.values()[random.nextInt(Outcome.values().length)];
                    int number = out.get(pick).remove(0);
                    if (outcome.mayStillRun()) {
                        rest[keys.get(pick)] =
                                Math.max(rest[keys.get(pick)], w.now + given.keyRest);
                    }
                    w.end(handles.get(pick), number, outcome);
                } else {
                    w.policy.onWakeup();
                }
                for (; seen < w.did.size(); seen++) {
                    String[] words = w.did.get(seen).split(" ");
                    if (words[0].equals("launch")) {
                        int id = Integer.parseInt(words[1]) - 1;
                        int before =
                                (int)
                                        w.did.subList(0, seen).stream()
                                                .filter(
                                                        did ->
                                                                did.startsWith(
                                                                        "launch " + words[1] + " "))
                                                .count();
                        out.get(id).add(before);
                        for (int other = 0; other < id; other++) {
                            assertTrue(
                                    !keys.get(other).equals(keys.get(id))
                                            || handles.get(other).isComplete(),
                                    "seed " + seed + ": " + id + " before " + other + " was over");
                        }
                        assertTrue(
                                before > 0 || w.now >= rest[keys.get(id)], "a rest was not kept");
                    }
                }
            }
        }
    }
}
