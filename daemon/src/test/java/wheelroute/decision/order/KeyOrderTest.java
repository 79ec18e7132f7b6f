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
 * Tests that the requests of a key run one at a time, in the order of acceptance, and that the key
 * is blocked after an attempt that may still be running.
 */
public class KeyOrderTest {
    private static final double OBJECTIVE_SECONDS = 1;
    private PolicyHarness.SettingsFixture fixture;

    @BeforeMethod
    public void createSettings() {
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
    public Object[][] secondRequests() {
        return new Object[][] {
            // class and key of the second request, whether the classes are ordered, whether the
            // second request begins at once
            {"job", "a", true, false},
            {"batch", "a", true, false},
            {"job", "b", true, true},
            {"job", null, true, true},
            {"job", "a", false, true},
        };
    }

    @Test(dataProvider = "secondRequests")
    public void waitsOnlyForRequestOfSameKey(
            String requestClass, String key, boolean ordered, boolean atOnce) {
        fixture.ordered = ordered;
        PolicyHarness harness = harness();
        accept(harness, "a");
        accept(harness, requestClass, key);
        assertEquals(harness.countActions("attempt"), atOnce ? 2 : 1);
    }

    @DataProvider
    public Object[][] outcomes() {
        return new Object[][] {
            // outcome of the first request's only attempt, seconds for which its key is blocked
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

    @Test(dataProvider = "outcomes")
    public void beginsNextRequestAfterQuietPeriod(Outcome outcome, double quietPeriodSeconds) {
        PolicyHarness harness = harness();
        RequestHandle first = accept(harness, "a");
        accept(harness, "a");
        harness.advance(0.1).endAttempt(first, 0, outcome);
        assertTrue(first.isComplete());
        assertEquals(
                harness.countActions("attempt"),
                quietPeriodSeconds > 0 ? 1 : 2,
                harness.actions.toString());
        harness.advance(0.19).policy.onWakeup();
        assertEquals(
                harness.countActions("attempt"),
                quietPeriodSeconds > 0 ? 1 : 2,
                harness.actions.toString());
        harness.advance(0.02).policy.onWakeup();
        assertEquals(harness.countActions("attempt"), 2, harness.actions.toString());
    }

    @Test
    public void schedulesWakeupForRequestAcceptedDuringQuietPeriod() {
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

    @Test
    public void schedulesOneWakeupPerQuietPeriod() {
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

    @Test
    public void retriesFirstRequestDuringQuietPeriod() {
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
                "the second request began while the first attempt may still be running");
        harness.advance(0.02).policy.onWakeup();
        assertEquals(harness.countActions("attempt 2 "), 1);
    }

    /** A key stays blocked until the attempt of a client that is gone has ended. */
    @Test
    public void skipsRequestsOfClientsThatAreGone() {
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

    @Test
    public void rejectsAtOnceRequestsThatCannotBeginInTime() {
        PolicyHarness harness = harness();
        for (int i = 0; i < 30; i++) {
            harness.accept("job", "t", 0.2, harness.now + PolicyHarness.TIMEOUT_SECONDS, "a");
        }
        long rejected = harness.countActions("reject");
        assertTrue(rejected >= 20, "rejected requests: " + rejected);
        assertEquals(harness.countActions("attempt"), 1);
        assertTrue(
                harness.retryAfterSeconds >= OBJECTIVE_SECONDS
                        && harness.retryAfterSeconds <= fixture.maxRetryAfterSeconds,
                "advised seconds before a retry: " + harness.retryAfterSeconds);
    }

    @Test
    public void rejectsRequestOfLessValueToBeginAnotherInTime() {
        fixture.batchPriorityWeight = 0.1;
        PolicyHarness harness = harness();
        harness.accept("job", "t", 0.5, harness.now + PolicyHarness.TIMEOUT_SECONDS, "a");
        RequestHandle lessValuable =
                harness.accept("batch", "t", 3, harness.now + PolicyHarness.TIMEOUT_SECONDS, "a");
        RequestHandle moreValuable =
                harness.accept("job", "t", 0.1, harness.now + PolicyHarness.TIMEOUT_SECONDS, "a");
        assertTrue(lessValuable.isComplete());
        assertFalse(moreValuable.isComplete());
        assertEquals(harness.actions.get(harness.actions.size() - 1), "reject 2");
    }

    @DataProvider
    public Object[][] timeouts() {
        return new Object[][] {{0.15}, {0.5}, {0.9}};
    }

    /**
     * The first request of the key never ends, so the waiting one must be rejected before its
     * deadline.
     */
    @Test(dataProvider = "timeouts")
    public void rejectsWaitingRequestBeforeItsDeadline(double timeoutSeconds) {
        PolicyHarness harness = harness();
        accept(harness, "a");
        double deadline = harness.now + timeoutSeconds;
        RequestHandle waiting = harness.accept("job", "t", 0.1, deadline, "a");
        while (!waiting.isComplete() && harness.now < deadline) {
            harness.advance(0.1).policy.onWakeup();
        }
        assertTrue(
                waiting.isComplete() && harness.now < deadline,
                "answered: "
                        + waiting.isComplete()
                        + ", time: "
                        + harness.now
                        + ", deadline: "
                        + deadline);
        waiting.onDeadline();
        waiting.onClientGone();
        assertEquals(harness.countActions("reject"), 1, harness.actions.toString());
    }

    @Test
    public void rejectsWaitingRequestOnDeadlineEvent() {
        PolicyHarness harness = harness();
        RequestHandle first = accept(harness, "a");
        RequestHandle second = accept(harness, "a");
        accept(harness, "a");
        second.onDeadline();
        first.onDeadline();
        assertEquals(
                harness.countActions("reject"),
                1,
                "a request with an attempt in flight must not be rejected");
        harness.endAttempt(first, 0, Outcome.SUCCEEDED);
        assertEquals(harness.lastAction().substring(0, 9), "attempt 3");
    }

    @Test
    public void keepsOrderAndQuietPeriodsInRandomHistories() {
        for (int seed = 0; seed < 20; seed++) {
            fixture.idempotency = Idempotency.values()[seed % 3];
            RandomEventSequence sequence = new RandomEventSequence(seed, harness());
            for (int step = 0; step < 400; step++) {
                sequence.step(step < 200);
                sequence.check();
            }
        }
    }

    /** A random sequence of events in which requests of three keys are accepted and end. */
    private final class RandomEventSequence {
        private final int seed;
        private final Random random;
        private final PolicyHarness harness;
        private final List<RequestHandle> handles = new ArrayList<>();
        private final List<Integer> keys = new ArrayList<>();
        private final List<List<Integer>> inFlight = new ArrayList<>();
        private final double[] quietUntil = new double[3];
        private int checked;

        RandomEventSequence(int seed, PolicyHarness harness) {
            this.seed = seed;
            this.harness = harness;
            random = new Random(seed);
        }

        void step(boolean mayAccept) {
            harness.advance(0.01 + 0.05 * random.nextDouble());
            int index = handles.isEmpty() ? 0 : random.nextInt(handles.size());
            if (mayAccept && random.nextInt(3) == 0) {
                keys.add(random.nextInt(3));
                inFlight.add(new ArrayList<>());
                handles.add(accept(harness, "k" + keys.get(keys.size() - 1)));
            } else if (!handles.isEmpty() && !inFlight.get(index).isEmpty()) {
                end(index);
            } else {
                harness.policy.onWakeup();
            }
        }

        private void end(int index) {
            Outcome[] outcomes = Outcome.values();
            Outcome outcome =
                    random.nextInt(3) > 0
                            ? Outcome.SUCCEEDED
                            : outcomes[random.nextInt(outcomes.length)];
            int number = inFlight.get(index).remove(0);
            if (outcome.mayStillRun()) {
                int key = keys.get(index);
                quietUntil[key] =
                        Math.max(quietUntil[key], harness.now + fixture.keyQuietPeriodSeconds);
            }
            harness.endAttempt(handles.get(index), number, outcome);
        }

        /** Checks the order and the quiet period of every attempt since the last check. */
        void check() {
            for (; checked < harness.actions.size(); checked++) {
                String[] fields = harness.actions.get(checked).split(" ");
                if (fields[0].equals("attempt")) {
                    checkAttempt(Integer.parseInt(fields[1]) - 1, attemptsBefore(fields[1]));
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
                        "seed "
                                + seed
                                + ": request "
                                + id
                                + " began before request "
                                + other
                                + " was complete");
            }
            assertTrue(
                    number > 0 || harness.now >= quietUntil[keys.get(id)],
                    "seed " + seed + ": request " + id + " began within a quiet period");
        }
    }
}
