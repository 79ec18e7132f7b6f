package wheelroute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Endpoint.State;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;
import wheelroute.decision.Outcome;
import wheelroute.decision.RequestHandle;

/** The four rules, by offering kind, outcome, list and cold worker. */
public class RulesTest {
    @DataProvider
    public Object[][] afterOneOutcome() {
        return new Object[][] {
            // effect, group, outcome, what follows while other workers are there
            {Idempotency.IDEMPOTENT, IdempotencyScope.CELL, Outcome.FAILED, "launch"},
            {Idempotency.IDEMPOTENT, IdempotencyScope.CELL, Outcome.CONNECTION_LOST, "launch"},
            {Idempotency.IDEMPOTENT, IdempotencyScope.CELL, Outcome.REJECTED, "launch"},
            {Idempotency.IDEMPOTENT, IdempotencyScope.CELL, Outcome.SUCCEEDED, "launch"},
            {Idempotency.IDEMPOTENT, IdempotencyScope.CELL, Outcome.INVALID_REQUEST, "scrap"},
            {Idempotency.IDEMPOTENT_BY_KEY, IdempotencyScope.ALL, Outcome.INVALID_REQUEST, "scrap"},
            {Idempotency.IDEMPOTENT_BY_KEY, IdempotencyScope.CELL, Outcome.FAILED, "launch"},
            {Idempotency.IDEMPOTENT_BY_KEY, IdempotencyScope.ALL, Outcome.UNKNOWN, "launch"},
            {Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL, Outcome.REJECTED, "launch"},
            {Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL, Outcome.CONNECT_FAILED, "launch"},
            {Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL, Outcome.NOT_SENT, "launch"},
            {Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL, Outcome.FAILED, "scrap"},
            {Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL, Outcome.TIMED_OUT, "scrap"},
            {Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL, Outcome.CONNECTION_LOST, "scrap"},
            {Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL, Outcome.CANCELLED, "scrap"},
            {Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL, Outcome.STALE_CONNECTION, "scrap"},
            {
                Idempotency.IDEMPOTENT_BY_KEY,
                IdempotencyScope.CELL,
                Outcome.STALE_CONNECTION,
                "launch"
            },
            {Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL, Outcome.UNKNOWN, "scrap"},
        };
    }

    @Test(dataProvider = "afterOneOutcome")
    public void whatFollowsAnOutcome(
            Idempotency effect, IdempotencyScope group, Outcome outcome, String expected) {
        SimulatedWorld w = SimulatedWorld.of(effect, group).list(4);
        RequestHandle handle = w.take(0.1);
        w.pass(0.1).end(handle, 0, outcome);
        assertTrue(w.last().startsWith(expected), w.did.toString());
        int launches = outcome == Outcome.SUCCEEDED || expected.equals("scrap") ? 1 : 2;
        assertEquals(w.count("launch"), launches, w.did.toString());
        assertEquals(handle.isComplete(), launches == 1);
    }

    @DataProvider
    public Object[][] blames() {
        return new Object[][] {
            {Outcome.FAILED, true},
            {Outcome.INVALID_REQUEST, false},
            {Outcome.STALE_CONNECTION, false}
        };
    }

    /**
     * Bad noise teaches nothing: a submission's fault or a connection's is held against no worker.
     */
    @Test(dataProvider = "blames")
    public void onlyAWorkersOwnFaultIsHeldAgainstIt(Outcome outcome, boolean blamed) {
        SimulatedWorld w = new SimulatedWorld(new SimulatedWorld.Given()).list(2);
        assertEquals(w.launchesToBad(12, 0.1, worker -> worker == 1, outcome) <= 3, blamed);
    }

    @DataProvider
    public Object[][] repeats() {
        return new Object[][] {
            // group, seconds from the send to the error, second outcome, final word, launches in
            // all
            {IdempotencyScope.CELL, 0.1, Outcome.FAILED, "scrap", 3},
            {IdempotencyScope.ZONE, 0.1, Outcome.FAILED, "scrap", 4},
            {IdempotencyScope.ALL, 0.1, Outcome.FAILED, "bounce", 6},
            {IdempotencyScope.CELL, 4.6, Outcome.FAILED, "scrap", 1},
            {IdempotencyScope.ALL, 4.6, Outcome.FAILED, "bounce", 1},
        };
    }

    /**
     * Every launch may have run: repeats stay in the group, and within its window less the way
     * there.
     */
    @Test(dataProvider = "repeats")
    public void repeatsStayInTheirGroupAndWindow(
            IdempotencyScope group, double after, Outcome outcome, String end, int most) {
        SimulatedWorld.Given given = new SimulatedWorld.Given();
        given.effect = Idempotency.IDEMPOTENT_BY_KEY;
        given.group = group;
        given.window = 5;
        SimulatedWorld w = new SimulatedWorld(given).list(4);
        RequestHandle handle = w.take(0.1);
        final long first = w.lastWorker();
        w.pass(after);
        int launch = 0;
        while (!handle.isComplete()) {
            w.end(handle, launch++, outcome);
            if (group == IdempotencyScope.CELL && w.lastWorker() > 0) {
                assertEquals(w.lastWorker() < 3, first < 3, "a repeat left its cell");
            }
            if (group == IdempotencyScope.ZONE && w.lastWorker() > 0) {
                assertEquals(w.lastWorker() == 4, first == 4, "a repeat left its zone");
            }
        }
        assertTrue(w.last().startsWith(end), w.did.toString());
        assertTrue(w.count("launch") <= Math.max(most, after < 1 ? 6 : 1), w.did.toString());
        assertEquals(w.count("scrap") + w.count("bounce"), 1, "one final answer");
    }

    @DataProvider
    public Object[][] deadEnds() {
        return new Object[][] {
            // workers listed, seconds to the outer limit, launches allowed, launches made
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
        SimulatedWorld.Given given = new SimulatedWorld.Given();
        given.mostLaunches = allowed;
        SimulatedWorld w = new SimulatedWorld(given).list(listed);
        RequestHandle handle = w.take(0.1, w.now + left);
        for (int i = 0; !handle.isComplete(); i++) {
            w.end(handle, i, Outcome.REJECTED);
        }
        assertEquals(w.count("launch"), made);
        assertEquals(w.count("bounce"), 1);
        handle.onClientGone();
        w.end(handle, 0, Outcome.FAILED);
        assertEquals(w.count(""), made + 1, w.did.toString());
    }

    @Test
    public void theOuterLimitEndsItWithOneAnswer() {
        SimulatedWorld w =
                SimulatedWorld.of(Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL).list(4);
        RequestHandle handle = w.take(0.1);
        w.pass(SimulatedWorld.LIMIT).end(handle, 0, Outcome.TIMED_OUT);
        assertEquals(w.count("scrap"), 1);
        assertTrue(handle.isComplete());
    }

    @Test
    public void aStartedStreamIsLeftAlone() {
        SimulatedWorld.Given given = new SimulatedWorld.Given();
        SimulatedWorld w = new SimulatedWorld(given).list(4);
        RequestHandle handle = w.take(0.1);
        handle.onStreaming(0);
        for (int i = 0; i < 50; i++) {
            w.pass(0.5).policy.onWakeup();
        }
        assertEquals(w.count("launch"), 1);
        assertFalse(handle.isComplete());
    }

    @DataProvider
    public Object[][] listNews() {
        return new Object[][] {{State.DRAINING}, {State.REMOVED}};
    }

    @Test(dataProvider = "listNews")
    public void nothingGoesToAWorkerThatDrainsOrIsGone(State readiness) {
        SimulatedWorld w =
                SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL)
                        .list(2)
                        .change(1, Double.NaN, readiness);
        for (int i = 0; i < 20; i++) {
            w.take(0.01);
            assertEquals(w.lastWorker(), 2);
        }
    }

    @Test
    public void aWholeListDropsWhoIsNotInIt() {
        SimulatedWorld w =
                SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(4).list(1);
        w.take(0.1);
        assertEquals(w.lastWorker(), 1);
        w.list(0).take(0.1);
        assertTrue(w.last().startsWith("bounce"));
    }

    @Test
    public void theListIsAskedForWhereItMustBe() {
        SimulatedWorld.Given given = new SimulatedWorld.Given();
        assertEquals(new SimulatedWorld(given).count("watch"), 0);
        given.mustAsk = true;
        assertEquals(new SimulatedWorld(given).count("watch"), 1);
    }

    @DataProvider
    public Object[][] coldBudgets() {
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

    @Test(dataProvider = "coldBudgets")
    public void aColdWorkerGetsNoMoreThanOurShare(
            int dispatchers, int processes, double age, double work, double most) {
        SimulatedWorld.Given given = new SimulatedWorld.Given();
        given.dispatchers = dispatchers;
        SimulatedWorld w = new SimulatedWorld(given);
        w.policy.setProcessCount(processes);
        w.change(1, w.now - age, State.READY);
        double sent = 0;
        for (int i = 0; i < 100; i++) {
            RequestHandle handle = w.take(work);
            if (w.lastWorker() == 1) {
                sent += work;
                // Turned away at once: refused work counts against the budget too.
                w.end(handle, 0, Outcome.REJECTED);
            }
            w.pass(0.02);
        }
        assertTrue(sent <= most, "sent " + sent);
        assertTrue(most == 0 || sent > 0, "and is not shut out");
    }

    @DataProvider
    public Object[][] carried() {
        return new Object[][] {
            // answers of 0.3 s each one after the other by two warm workers; how often one slot's
            // budget is
            // passed for sure, and at most, as ten dispatchers with such traffic keep five slots of
            // each busy
            {2, 0, 1}, {40, 2, 5},
        };
    }

    /**
     * Guards against budgets by the one slot that a dispatcher among many has seen busy at a time.
     */
    @Test(dataProvider = "carried")
    public void aColdWorkerIsTakenToCarryWhatOthersOfItsModelDo(int answers, int least, int most) {
        SimulatedWorld.Given given = new SimulatedWorld.Given();
        given.dispatchers = 10;
        SimulatedWorld w = new SimulatedWorld(given).list(2);
        for (int i = 0; i < answers; i++) {
            w.serve(0.3, 0.3);
        }
        w.change(2, Double.NaN, State.REMOVED).change(1, w.now - 0.1, State.READY);
        double sent = 0;
        for (int i = 0; i < 100; i++) {
            w.did.clear();
            RequestHandle handle = w.take(0.02);
            if (w.lastWorker() == 1) {
                sent += 0.02;
                // Its client leaves, so that neither a queue nor a rest of the worker's stands in
                // the way.
                handle.onClientGone();
                w.end(handle, 0, Outcome.CANCELLED);
            }
            w.pass(0.02);
        }
        double ofOneSlot = 0.65 * 12 * 0.26 / 10;
        assertTrue(
                sent >= least * ofOneSlot && sent <= most * ofOneSlot * 1.1,
                sent + " by " + ofOneSlot);
    }

    /**
     * Guards against shares of a cold worker's budget that no job fits into, and against their sum.
     */
    @Test
    public void manyDispatchersTakeTurnsAtAColdWorker() {
        List<SimulatedWorld> all = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            SimulatedWorld.Given given = new SimulatedWorld.Given();
            given.dispatchers = 14;
            given.position = i;
            all.add(new SimulatedWorld(given).change(1, SimulatedWorld.START - 0.1, State.READY));
        }
        List<double[]> sent = new ArrayList<>();
        for (double age = 0.1; age < 19; age += 0.1) {
            for (SimulatedWorld w : all) {
                w.did.clear();
                RequestHandle handle = w.take(0.5);
                if (w.lastWorker() == 1) {
                    sent.add(new double[] {age, 0.5});
                    w.end(handle, 0, Outcome.REJECTED);
                }
                w.pass(0.1);
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
    public Object[][] leavings() {
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

    /** Rule 3 where only a drain binds; no entry at all stands for a whole list without it. */
    @Test(dataProvider = "leavings")
    public void whoIsGoneMayBeSentToWhereOnlyADrainBinds(
            boolean advice, List<State> told, boolean may) {
        SimulatedWorld.Given given = new SimulatedWorld.Given();
        given.goneIsAdvice = advice;
        SimulatedWorld w = new SimulatedWorld(given).list(1);
        if (told.isEmpty()) {
            w.policy.onEndpoints(List.of(), true);
        }
        told.forEach(readiness -> w.change(1, Double.NaN, readiness));
        RequestHandle handle = w.pass(1).take(0.1);
        assertEquals(w.count("launch"), may ? 1 : 0, w.did.toString());
        if (may) {
            // The first failure settles it.
            w.end(handle, 0, Outcome.CONNECT_FAILED);
            w.pass(5).take(0.1);
            assertEquals(w.count("launch"), 1, w.did.toString());
            w.change(1, Double.NaN, State.READY).pass(5).take(0.1);
            assertEquals(w.count("launch"), 2, w.did.toString());
        }
    }

    @Test
    public void noSecondCopyWhereForbidden() {
        SimulatedWorld.Given given = new SimulatedWorld.Given();
        given.mayCopy = false;
        SimulatedWorld w = new SimulatedWorld(given).list(4).earnCopies();
        RequestHandle handle = w.take(0.1);
        w.watch(40);
        assertEquals(w.count("launch"), 1);
        assertEquals(w.count("cancel"), 1, "the silent launch is called off first");
        w.end(handle, 0, Outcome.CANCELLED);
        assertEquals(w.count("launch"), 2);
    }
}
