package wheelroute.decision.order;

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
import wheelroute.decision.PolicyHarness;
import wheelroute.decision.RequestHandle;

/**
 * The rule on keys: one at a time, in the order of their taking, and a rest after what may still
 * run.
 */
public class KeyOrderTest {
    private static final double OBJECTIVE = 1;
    private PolicyHarness.SettingsFixture fixture;

    @BeforeMethod
    public void plainSettings() {
        fixture = new PolicyHarness.SettingsFixture();
        fixture.ordered = true;
        fixture.idempotency = Idempotency.NON_IDEMPOTENT;
    }

    private PolicyHarness harness() {
        return new PolicyHarness(fixture).listWorkers(4);
    }

    private static RequestHandle accept(PolicyHarness harness, String key) {
        return accept(harness, "job", key);
    }

    private static RequestHandle accept(PolicyHarness harness, String requestClass, String key) {
        return harness.accept(
                requestClass, "t", 0.1, harness.now + PolicyHarness.TIMEOUT_SECONDS, key);
    }

    @DataProvider
    public Object[][] neighbours() {
        return new Object[][] {
            // the second one's class and key, whether the classes keep order, whether it goes
            // at once
            {"job", "a", true, false},
            {"batch", "a", true, false},
            {"job", "b", true, true},
            {"job", null, true, true},
            {"job", "a", false, true},
        };
    }

    @Test(dataProvider = "neighbours")
    public void whoWaitsForWhom(String requestClass, String key, boolean ordered, boolean atOnce) {
        fixture.ordered = ordered;
        PolicyHarness harness = harness();
        accept(harness, "a");
        accept(harness, requestClass, key);
        assertEquals(harness.countActions("attempt"), atOnce ? 2 : 1);
    }

    @DataProvider
    public Object[][] ends() {
        return new Object[][] {
            // how the first one's only attempt ended, how long the key rests after it
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
    public void theNextBeginsWhenTheFirstIsCompleteAndItsKeyWasQuiet(
            Outcome outcome, double quietPeriod) {
        PolicyHarness harness = harness();
        RequestHandle first = accept(harness, "a");
        accept(harness, "a");
        harness.advance(0.1).endAttempt(first, 0, outcome);
        assertTrue(first.isComplete());
        assertEquals(
                harness.countActions("attempt"),
                quietPeriod > 0 ? 1 : 2,
                harness.actions.toString());
        harness.advance(0.19).policy.onWakeup();
        assertEquals(
                harness.countActions("attempt"),
                quietPeriod > 0 ? 1 : 2,
                harness.actions.toString());
        harness.advance(0.02).policy.onWakeup();
        assertEquals(harness.countActions("attempt"), 2, harness.actions.toString());
    }

    /** A rest also holds for one that is taken while it lasts, and nothing else has to wake it. */
    @Test
    public void aQuietPeriodHoldsForLaterRequestsAndEndsByItself() {
        PolicyHarness harness = harness();
        RequestHandle first = accept(harness, "a");
        harness.endAttempt(first, 0, Outcome.CONNECTION_LOST);
        harness.advance(0.05);
        accept(harness, "a");
        assertEquals(harness.countActions("attempt"), 1);
        assertEquals(harness.wakeups.get(harness.wakeups.size() - 1), harness.now + 0.15, 1e-9);
        harness.advance(0.15 + 1e-6).policy.onWakeup();
        assertEquals(harness.countActions("attempt"), 2);
    }

    /** However many rests there are, each has one wake: they must not call for one another. */
    @Test
    public void wakeupsDoNotMultiply() {
        PolicyHarness harness = harness();
        for (int i = 0; i < 10; i++) {
            harness.endAttempt(accept(harness, "key" + i), 0, Outcome.CONNECTION_LOST);
            accept(harness, "key" + i);
        }
        harness.wakeups.clear();
        for (int i = 0; i < 19; i++) {
            harness.advance(0.01).policy.onWakeup();
        }
        assertTrue(harness.wakeups.size() <= 4, harness.wakeups.toString());
    }

    /** The one whose turn it is may be tried again and copied as ever. */
    @Test
    public void theFirstIsRetriedWithoutAQuietPeriod() {
        fixture.idempotency = Idempotency.IDEMPOTENT;
        PolicyHarness harness = harness();
        RequestHandle first = accept(harness, "a");
        accept(harness, "a");
        harness.endAttempt(first, 0, Outcome.CONNECTION_LOST);
        assertEquals(harness.countActions("attempt 1 "), 2, harness.actions.toString());
        harness.endAttempt(first, 1, Outcome.SUCCEEDED);
        harness.advance(0.19).policy.onWakeup();
        assertEquals(
                harness.countActions("attempt 2 "),
                0,
                "the break of its first attempt still counts");
        harness.advance(0.02).policy.onWakeup();
        assertEquals(harness.countActions("attempt 2 "), 1);
    }

    /** A client that leaves is done with, but its key is not free before its attempt has ended. */
    @Test
    public void aClientThatLeavesGivesUpItsTurn() {
        PolicyHarness harness = harness();
        RequestHandle first = accept(harness, "a");
        RequestHandle second = accept(harness, "a");
        accept(harness, "a");
        second.onClientGone();
        assertTrue(second.isComplete());
        first.onClientGone();
        assertEquals(harness.lastAction(), "cancel 1 0");
        harness.advance(0.1).policy.onWakeup();
        assertEquals(harness.countActions("attempt"), 1);
        harness.endAttempt(first, 0, Outcome.CANCELLED);
        harness.advance(0.21).policy.onWakeup();
        assertEquals(harness.lastAction().substring(0, 9), "attempt 3", harness.actions.toString());
    }

    /** A line longer than the quoted time lasts: the last ones hear at once, and when to come. */
    @Test
    public void whoCannotBeInTimeIsRejectedAtOnce() {
        PolicyHarness harness = harness();
        for (int i = 0; i < 30; i++) {
            harness.accept("job", "t", 0.2, harness.now + PolicyHarness.TIMEOUT_SECONDS, "a");
        }
        long rejected = harness.countActions("reject");
        assertTrue(rejected >= 20, "told " + rejected);
        assertEquals(harness.countActions("attempt"), 1);
        assertTrue(
                harness.retryAfterSeconds >= OBJECTIVE
                        && harness.retryAfterSeconds <= fixture.maxRetryAfterSeconds,
                "come back after " + harness.retryAfterSeconds);
    }

    /**
     * One of great value behind lesser ones of its key, which run long: the lesser one gives way.
     */
    @Test
    public void requestsOfLessValueGiveWay() {
        fixture.batchPriorityWeight = 0.1;
        PolicyHarness harness = harness();
        harness.accept("job", "t", 0.5, harness.now + PolicyHarness.TIMEOUT_SECONDS, "a");
        RequestHandle lesser =
                harness.accept("batch", "t", 3, harness.now + PolicyHarness.TIMEOUT_SECONDS, "a");
        RequestHandle more =
                harness.accept("job", "t", 0.1, harness.now + PolicyHarness.TIMEOUT_SECONDS, "a");
        assertTrue(lesser.isComplete());
        assertFalse(more.isComplete());
        assertEquals(harness.actions.get(harness.actions.size() - 1), "reject 2");
    }

    @DataProvider
    public Object[][] limits() {
        return new Object[][] {{0.15}, {0.5}, {0.9}};
    }

    /** The head never reports: whoever waits is answered before its own outer limit, once. */
    @Test(dataProvider = "limits")
    public void whoWaitsIsAnsweredBeforeItsLimit(double limit) {
        PolicyHarness harness = harness();
        accept(harness, "a");
        double end = harness.now + limit;
        RequestHandle waits = harness.accept("job", "t", 0.1, end, "a");
        while (!waits.isComplete() && harness.now < end) {
            harness.advance(0.1).policy.onWakeup();
        }
        assertTrue(
                waits.isComplete() && harness.now < end,
                "answered by " + harness.now + " of " + end);
        waits.onDeadline();
        waits.onClientGone();
        assertEquals(harness.countActions("reject"), 1, harness.actions.toString());
    }

    /** A driver whose timer is late tells it so itself; its place is free at once. */
    @Test
    public void theDriverMayEndAWaitingRequest() {
        PolicyHarness harness = harness();
        RequestHandle first = accept(harness, "a");
        RequestHandle second = accept(harness, "a");
        accept(harness, "a");
        second.onDeadline();
        first.onDeadline();
        assertEquals(
                harness.countActions("reject"),
                1,
                "the first has an attempt in flight, whose end comes");
        harness.endAttempt(first, 0, Outcome.SUCCEEDED);
        assertEquals(harness.lastAction().substring(0, 9), "attempt 3");
    }

    /** Long random histories, checked against the rule's own words. */
    @Test
    public void randomHistoriesKeepTheRule() {
        for (int seed = 0; seed < 20; seed++) {
            fixture.idempotency = Idempotency.values()[seed % 3];
            RandomHistory history = new RandomHistory(seed, harness());
            for (int step = 0; step < 400; step++) {
                history.step(step < 200);
                history.check();
            }
        }
    }

    /** Requests of three keys that are accepted and end by chance. */
    private final class RandomHistory {
        private final int seed;
        private final Random random;
        private final PolicyHarness harness;
        private final List<RequestHandle> handles = new ArrayList<>();
        private final List<Integer> keys = new ArrayList<>();
        private final List<List<Integer>> inFlight = new ArrayList<>();
        private final double[] quietUntil = new double[3];
        private int checked;

        RandomHistory(int seed, PolicyHarness harness) {
            this.seed = seed;
            this.harness = harness;
            random = new Random(seed);
        }

        void step(boolean mayAccept) {
            harness.advance(0.01 + 0.05 * random.nextDouble());
            int pick = handles.isEmpty() ? 0 : random.nextInt(handles.size());
            if (mayAccept && random.nextInt(3) == 0) {
                keys.add(random.nextInt(3));
                inFlight.add(new ArrayList<>());
                handles.add(accept(harness, "k" + keys.get(keys.size() - 1)));
            } else if (!handles.isEmpty() && !inFlight.get(pick).isEmpty()) {
                end(pick);
            } else {
                harness.policy.onWakeup();
            }
        }

        private void end(int pick) {
            Outcome[] outcomes = Outcome.values();
            Outcome outcome =
                    random.nextInt(3) > 0
                            ? Outcome.SUCCEEDED
                            : outcomes[random.nextInt(outcomes.length)];
            int number = inFlight.get(pick).remove(0);
            if (outcome.mayStillRun()) {
                int key = keys.get(pick);
                quietUntil[key] =
                        Math.max(quietUntil[key], harness.now + fixture.keyQuietPeriodSeconds);
            }
            harness.endAttempt(handles.get(pick), number, outcome);
        }

        /** Every attempt since the last check came in its turn, and after its key's quiet time. */
        void check() {
            for (; checked < harness.actions.size(); checked++) {
                String[] words = harness.actions.get(checked).split(" ");
                if (words[0].equals("attempt")) {
                    checkAttempt(Integer.parseInt(words[1]) - 1, attemptsBefore(words[1]));
                }
            }
        }

        private int attemptsBefore(String id) {
            return (int)
                    harness.actions.subList(0, checked).stream()
                            .filter(action -> action.startsWith("attempt " + id + " "))
                            .count();
        }

        private void checkAttempt(int id, int number) {
            inFlight.get(id).add(number);
            for (int other = 0; other < id; other++) {
                assertTrue(
                        !keys.get(other).equals(keys.get(id)) || handles.get(other).isComplete(),
                        "seed " + seed + ": " + id + " before " + other + " was over");
            }
            assertTrue(
                    number > 0 || harness.now >= quietUntil[keys.get(id)],
                    "a quiet time was not kept");
        }
    }
}
