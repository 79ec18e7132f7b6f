package wheelroute.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Endpoint.State;

/** The four rules, by class kind, outcome, list and warming worker. */
public class FourRulesTest {
    @DataProvider
    public Object[][] afterOneOutcome() {
        return new Object[][] {
            // effect, group, outcome, what follows while other workers are there
            {Idempotency.IDEMPOTENT, IdempotencyScope.CELL, Outcome.FAILED, "attempt"},
            {Idempotency.IDEMPOTENT, IdempotencyScope.CELL, Outcome.CONNECTION_LOST, "attempt"},
            {Idempotency.IDEMPOTENT, IdempotencyScope.CELL, Outcome.REJECTED, "attempt"},
            {Idempotency.IDEMPOTENT, IdempotencyScope.CELL, Outcome.SUCCEEDED, "attempt"},
            {Idempotency.IDEMPOTENT, IdempotencyScope.CELL, Outcome.INVALID_REQUEST, "fail"},
            {Idempotency.IDEMPOTENT_BY_KEY, IdempotencyScope.ALL, Outcome.INVALID_REQUEST, "fail"},
            {Idempotency.IDEMPOTENT_BY_KEY, IdempotencyScope.CELL, Outcome.FAILED, "attempt"},
            {Idempotency.IDEMPOTENT_BY_KEY, IdempotencyScope.ALL, Outcome.UNKNOWN, "attempt"},
            {Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL, Outcome.REJECTED, "attempt"},
            {Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL, Outcome.CONNECT_FAILED, "attempt"},
            {Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL, Outcome.NOT_SENT, "attempt"},
            {Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL, Outcome.FAILED, "fail"},
            {Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL, Outcome.TIMED_OUT, "fail"},
            {Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL, Outcome.CONNECTION_LOST, "fail"},
            {Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL, Outcome.CANCELLED, "fail"},
            {Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL, Outcome.STALE_CONNECTION, "fail"},
            {
                Idempotency.IDEMPOTENT_BY_KEY,
                IdempotencyScope.CELL,
                Outcome.STALE_CONNECTION,
                "attempt"
            },
            {Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL, Outcome.UNKNOWN, "fail"},
        };
    }

    @Test(dataProvider = "afterOneOutcome")
    public void whatFollowsAnOutcome(
            Idempotency idempotency, IdempotencyScope scope, Outcome outcome, String expected) {
        PolicyHarness harness = PolicyHarness.of(idempotency, scope).list(4);
        RequestHandle handle = harness.accept(0.1);
        harness.pass(0.1).end(handle, 0, outcome);
        assertTrue(harness.lastAction().startsWith(expected), harness.actions.toString());
        int attempts = outcome == Outcome.SUCCEEDED || expected.equals("fail") ? 1 : 2;
        assertEquals(harness.count("attempt"), attempts, harness.actions.toString());
        assertEquals(handle.isComplete(), attempts == 1);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {Outcome.FAILED, true},
            {Outcome.INVALID_REQUEST, false},
            {Outcome.STALE_CONNECTION, false}
        };
    }

    /** Bad noise teaches nothing: a request's fault or a connection's is held against no worker. */
    @Test(dataProvider = "faults")
    public void onlyAWorkersOwnFaultIsHeldAgainstIt(Outcome outcome, boolean blamed) {
        PolicyHarness harness = new PolicyHarness(new PolicyHarness.SettingsFixture()).list(2);
        assertEquals(
                harness.attemptsAtBadWorkers(12, 0.1, worker -> worker == 1, outcome) <= 3, blamed);
    }

    @DataProvider
    public Object[][] retriesByKey() {
        return new Object[][] {
            // group, seconds from the send to the error, second outcome, final word, attempts in
            // all
            {IdempotencyScope.CELL, 0.1, Outcome.FAILED, "fail", 3},
            {IdempotencyScope.ZONE, 0.1, Outcome.FAILED, "fail", 4},
            {IdempotencyScope.ALL, 0.1, Outcome.FAILED, "reject", 6},
            {IdempotencyScope.CELL, 4.6, Outcome.FAILED, "fail", 1},
            {IdempotencyScope.ALL, 4.6, Outcome.FAILED, "reject", 1},
        };
    }

    /**
     * Every attempt may have run: repeats stay in the group, and within its window less the way
     * there.
     */
    @Test(dataProvider = "retriesByKey")
    public void retriesByKeyStayInScopeAndWindow(
            IdempotencyScope scope, double after, Outcome outcome, String end, int max) {
        PolicyHarness.SettingsFixture given = new PolicyHarness.SettingsFixture();
        given.idempotency = Idempotency.IDEMPOTENT_BY_KEY;
        given.idempotencyScope = scope;
        given.idempotencyWindowSeconds = 5;
        PolicyHarness harness = new PolicyHarness(given).list(4);
        RequestHandle handle = harness.accept(0.1);
        final long first = harness.lastWorker();
        harness.pass(after);
        int attempt = 0;
        while (!handle.isComplete()) {
            harness.end(handle, attempt++, outcome);
            if (scope == IdempotencyScope.CELL && harness.lastWorker() > 0) {
                assertEquals(harness.lastWorker() < 3, first < 3, "a repeat left its cell");
            }
            if (scope == IdempotencyScope.ZONE && harness.lastWorker() > 0) {
                assertEquals(harness.lastWorker() == 4, first == 4, "a repeat left its zone");
            }
        }
        assertTrue(harness.lastAction().startsWith(end), harness.actions.toString());
        assertTrue(
                harness.count("attempt") <= Math.max(max, after < 1 ? 6 : 1),
                harness.actions.toString());
        assertEquals(harness.count("fail") + harness.count("reject"), 1, "one final answer");
    }

    @DataProvider
    public Object[][] deadEnds() {
        return new Object[][] {
            // workers listed, seconds to the outer limit, attempts allowed, attempts made
            {0, 10.0, 6, 0},
            {4, 0.0, 6, 0},
            {4, -1.0, 6, 0},
            {4, 10.0, 1, 1},
            {4, 10.0, 3, 3},
        };
    }

    @Test(dataProvider = "deadEnds")
    public void givesOneAnswerAtOnceAndNothingAfter(
            int listed, double left, int allowed, int made) {
        PolicyHarness.SettingsFixture given = new PolicyHarness.SettingsFixture();
        given.maxAttempts = allowed;
        PolicyHarness harness = new PolicyHarness(given).list(listed);
        RequestHandle handle = harness.accept(0.1, harness.now + left);
        for (int i = 0; !handle.isComplete(); i++) {
            harness.end(handle, i, Outcome.REJECTED);
        }
        assertEquals(harness.count("attempt"), made);
        assertEquals(harness.count("reject"), 1);
        handle.onClientGone();
        harness.end(handle, 0, Outcome.FAILED);
        assertEquals(harness.count(""), made + 1, harness.actions.toString());
    }

    @Test
    public void theDeadlineEndsItWithOneAnswer() {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL).list(4);
        RequestHandle handle = harness.accept(0.1);
        harness.pass(PolicyHarness.TIMEOUT).end(handle, 0, Outcome.TIMED_OUT);
        assertEquals(harness.count("fail"), 1);
        assertTrue(handle.isComplete());
    }

    @Test
    public void aStartedStreamIsLeftAlone() {
        PolicyHarness.SettingsFixture given = new PolicyHarness.SettingsFixture();
        PolicyHarness harness = new PolicyHarness(given).list(4);
        RequestHandle handle = harness.accept(0.1);
        handle.onStreaming(0);
        for (int i = 0; i < 50; i++) {
            harness.pass(0.5).policy.onWakeup();
        }
        assertEquals(harness.count("attempt"), 1);
        assertFalse(handle.isComplete());
    }

    @DataProvider
    public Object[][] removals() {
        return new Object[][] {{State.DRAINING}, {State.REMOVED}};
    }

    @Test(dataProvider = "removals")
    public void nothingGoesToADrainingOrRemovedWorker(State state) {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL)
                        .list(2)
                        .update(1, Double.NaN, state);
        for (int i = 0; i < 20; i++) {
            harness.accept(0.01);
            assertEquals(harness.lastWorker(), 2);
        }
    }

    @Test
    public void aCompleteListRemovesWhoIsNotInIt() {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(4).list(1);
        harness.accept(0.1);
        assertEquals(harness.lastWorker(), 1);
        harness.list(0).accept(0.1);
        assertTrue(harness.lastAction().startsWith("reject"));
    }

    @Test
    public void theListIsWatchedWhereItMustBe() {
        PolicyHarness.SettingsFixture given = new PolicyHarness.SettingsFixture();
        assertEquals(new PolicyHarness(given).count("watch"), 0);
        given.watchesEndpoints = true;
        assertEquals(new PolicyHarness(given).count("watch"), 1);
    }

    @DataProvider
    public Object[][] slowStartBudgets() {
        return new Object[][] {
            // dispatchers, processes of this one, seconds since the start, work each, most of it in
            // a window
            // of 3 s; speed and slots are the standard ones here, so the budget is 4 x warmth x 3 s
            {1, 1, 0.1, 0.3, 12.0 * 0.26},
            {1, 2, 0.1, 0.3, 12.0 * 0.26 / 2},
            {4, 1, 0.1, 0.3, 12.0 * 0.26 / 4},
            {4, 1, 0.1, 5.0, 0.0},
            {1, 1, 10.0, 0.3, 12.0 * 0.64},
        };
    }

    @Test(dataProvider = "slowStartBudgets")
    public void aWarmingWorkerGetsNoMoreThanOurShare(
            int dispatchers, int processes, double age, double work, double max) {
        PolicyHarness.SettingsFixture given = new PolicyHarness.SettingsFixture();
        given.dispatchers = dispatchers;
        PolicyHarness harness = new PolicyHarness(given);
        harness.policy.setProcessCount(processes);
        harness.update(1, harness.now - age, State.READY);
        double sent = 0;
        for (int i = 0; i < 100; i++) {
            RequestHandle handle = harness.accept(work);
            if (harness.lastWorker() == 1) {
                sent += work;
                // Turned away at once: refused work counts against the budget too.
                harness.end(handle, 0, Outcome.REJECTED);
            }
            harness.pass(0.02);
        }
        assertTrue(sent <= max, "sent " + sent);
        assertTrue(max == 0 || sent > 0, "and is not shut out");
    }

    @DataProvider
    public Object[][] modelWorkRates() {
        return new Object[][] {
            // answers of 0.3 s each one after the other by two warm workers; how often one slot's
            // budget is
            // passed for sure, and at most, as ten dispatchers with such traffic keep five slots of
            // each busy
            {2, 0, 1}, {40, 2, 5},
        };
    }

    /** Prevents budgets by the one slot that a dispatcher among many has seen busy at a time. */
    @Test(dataProvider = "modelWorkRates")
    public void aWarmingWorkerIsTakenToDoWhatOthersOfItsModelDo(int answers, int min, int max) {
        PolicyHarness.SettingsFixture given = new PolicyHarness.SettingsFixture();
        given.dispatchers = 10;
        PolicyHarness harness = new PolicyHarness(given).list(2);
        for (int i = 0; i < answers; i++) {
            harness.serve(0.3, 0.3);
        }
        harness.update(2, Double.NaN, State.REMOVED).update(1, harness.now - 0.1, State.READY);
        double sent = 0;
        for (int i = 0; i < 100; i++) {
            harness.actions.clear();
            RequestHandle handle = harness.accept(0.02);
            if (harness.lastWorker() == 1) {
                sent += 0.02;
                // Its client leaves, so that neither a queue nor a rest of the worker's stands in
                // the way.
                handle.onClientGone();
                harness.end(handle, 0, Outcome.CANCELLED);
            }
            harness.pass(0.02);
        }
        double ofOneSlot = 0.65 * 12 * 0.26 / 10;
        assertTrue(
                sent >= min * ofOneSlot && sent <= max * ofOneSlot * 1.1,
                sent + " by " + ofOneSlot);
    }

    /**
     * Prevents shares of a warming worker's budget that no job fits into, and against their sum.
     */
    @Test
    public void manyDispatchersTakeTurnsAtAWarmingWorker() {
        List<PolicyHarness> all = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            PolicyHarness.SettingsFixture given = new PolicyHarness.SettingsFixture();
            given.dispatchers = 14;
            given.position = i;
            all.add(new PolicyHarness(given).update(1, PolicyHarness.START - 0.1, State.READY));
        }
        List<double[]> sent = new ArrayList<>();
        for (double age = 0.1; age < 19; age += 0.1) {
            for (PolicyHarness harness : all) {
                harness.actions.clear();
                RequestHandle handle = harness.accept(0.5);
                if (harness.lastWorker() == 1) {
                    sent.add(new double[] {age, 0.5});
                    harness.end(handle, 0, Outcome.REJECTED);
                }
                harness.pass(0.1);
            }
        }
        for (double[] last : sent) {
            double from = last[0] - 3;
            double work =
                    sent.stream()
                            .filter(s -> s[0] > from && s[0] <= last[0])
                            .mapToDouble(s -> s[1])
                            .sum();
            double warmth = 0.25 + 0.75 * Math.max(0, from) / 20;
            assertTrue(work <= 12 * warmth, work + " in the window that ends at " + last[0]);
        }
        assertTrue(sent.size() > 10, "and is not shut out: " + sent.size());
    }

    @DataProvider
    public Object[][] removalsByAdvice() {
        return new Object[][] {
            // whether only a drain binds, what the list says of worker 1 in turn, whether it may be
            // sent to
            {false, List.of(State.REMOVED), false},
            {true, List.of(State.REMOVED), true},
            {true, List.of(State.DRAINING), false},
            {true, List.of(State.DRAINING, State.REMOVED), false},
            {true, List.of(State.DRAINING, State.READY, State.REMOVED), true},
            {false, List.of(), false},
            {true, List.of(), true},
        };
    }

    /** Rule 3 where only a drain binds; no entry at all stands for a complete list without it. */
    @Test(dataProvider = "removalsByAdvice")
    public void aRemovedWorkerMayBeSentToWhereOnlyADrainBinds(
            boolean advice, List<State> states, boolean may) {
        PolicyHarness.SettingsFixture given = new PolicyHarness.SettingsFixture();
        given.removalIsAdvisory = advice;
        PolicyHarness harness = new PolicyHarness(given).list(1);
        if (states.isEmpty()) {
            harness.policy.onEndpoints(List.of(), true);
        }
        states.forEach(state -> harness.update(1, Double.NaN, state));
        RequestHandle handle = harness.pass(1).accept(0.1);
        assertEquals(harness.count("attempt"), may ? 1 : 0, harness.actions.toString());
        if (may) {
            // The first failure settles it.
            harness.end(handle, 0, Outcome.CONNECT_FAILED);
            harness.pass(5).accept(0.1);
            assertEquals(harness.count("attempt"), 1, harness.actions.toString());
            harness.update(1, Double.NaN, State.READY).pass(5).accept(0.1);
            assertEquals(harness.count("attempt"), 2, harness.actions.toString());
        }
    }

    @Test
    public void noHedgedRequestWhereForbidden() {
        PolicyHarness.SettingsFixture given = new PolicyHarness.SettingsFixture();
        given.mayHedge = false;
        PolicyHarness harness = new PolicyHarness(given).list(4).earnHedges();
        RequestHandle handle = harness.accept(0.1);
        harness.sweep(40);
        assertEquals(harness.count("attempt"), 1);
        assertEquals(harness.count("cancel"), 1, "the silent launch is called off first");
        harness.end(handle, 0, Outcome.CANCELLED);
        assertEquals(harness.count("attempt"), 2);
    }
}
