package wheelroute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Endpoint.State;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;
import wheelroute.decision.LoadReport;
import wheelroute.decision.Outcome;
import wheelroute.decision.RequestHandle;

/** The ordinary path, and the judgement of workers. */
public class ChoiceTest {
    private static SimulatedWorld world() {
        return SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(2);
    }

    @DataProvider
    public Object[][] costs() {
        return new Object[][] {
            // speed of worker 1, speed of worker 2, work already at 1, the choice
            {1.0, 0.5, 0.0, 1L},
            {0.5, 1.0, 0.0, 2L},
            {1.0, 0.5, 3.0, 2L},
            {1.0, 1.0, 0.5, 2L},
        };
    }

    /** Equal workers but for speed and backlog: the least of b(u+a) + kappa(2ua+a²). */
    @Test(dataProvider = "costs")
    public void picksTheLeastAdmittanceCost(
            double speed1, double speed2, double ahead, long choice) {
        SimulatedWorld w = world();
        for (int i = 0; i < 40; i++) {
            double hint = 0.2;
            w.did.clear();
            RequestHandle handle = w.take(hint);
            double speed = w.lastWorker() == 1 ? speed1 : speed2;
            handle.onStarted(0);
            w.pass(hint / speed);
            w.end(handle, 0, Outcome.SUCCEEDED);
        }
        if (ahead > 0) {
            w.change(2, Double.NaN, State.DRAINING);
            w.take(ahead);
            w.change(2, Double.NaN, State.READY);
        }
        w.take(0.2);
        assertEquals(w.lastWorker(), choice);
    }

    @Test
    public void nearTiesAreDrawnAndTheSameEventsGiveTheSameDraws() {
        Set<Long> chosen = new HashSet<>();
        SimulatedWorld a = world();
        SimulatedWorld b = world();
        for (int i = 0; i < 40; i++) {
            long byA = a.serve(0.1, 0.1);
            chosen.add(byA);
            assertEquals(b.serve(0.1, 0.1), byA);
        }
        assertEquals(chosen, Set.of(1L, 2L));
    }

    /**
     * A spell of submissions that fail anywhere: no worker is avoided for it, and they cost one
     * launch.
     */
    @Test
    public void errorsThatFollowASubmissionAreNoWorkersFault() {
        SimulatedWorld w = SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(4);
        long launchesLate = 0;
        for (int i = 0; i < 60; i++) {
            w.did.clear();
            RequestHandle handle = w.pass(0.05).take(0.1);
            boolean bad = i % 2 == 1;
            for (int launch = 0; !handle.isComplete(); launch++) {
                w.pass(0.02).end(handle, launch, bad ? Outcome.FAILED : Outcome.SUCCEEDED);
            }
            launchesLate += i >= 40 && bad ? w.count("launch") : 0;
        }
        assertEquals(launchesLate, 10, "one launch for each that fails anywhere");
        assertEquals(w.policy.avoidedEndpoints(), 0);
    }

    /** Its evidence ages: a worker that fails by itself afterwards is found out as ever. */
    @Test
    public void aWorkersOwnErrorsAreStillItsFault() {
        SimulatedWorld w = SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(4);
        w.launchesToBad(10, 0.1, worker -> true, Outcome.FAILED);
        w.pass(11);
        for (int i = 0; i < 12; i++) {
            w.serve(0.1, 0.1);
        }
        assertTrue(w.launchesToBad(30, 0.1, worker -> worker == 1, Outcome.FAILED) <= 4);
    }

    /** Two dispatchers that never spoke send a key to one worker, and another when that is busy. */
    @Test
    public void aKeysJobsGoWhereWhatTheyNeedIsKept() {
        Set<Long> homes = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            String key = "key" + i;
            SimulatedWorld a =
                    SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(3);
            SimulatedWorld b =
                    SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(3);
            b.serve(0.1, 0.1);
            a.take("job", "t", 0.5, a.now + SimulatedWorld.LIMIT, key);
            b.take("job", "t", 0.5, b.now + SimulatedWorld.LIMIT, key);
            final long home = a.lastWorker();
            assertEquals(b.lastWorker(), home);
            homes.add(home);
            a.take("job", "t", 0.5, a.now + SimulatedWorld.LIMIT, key);
            assertNotEquals(a.lastWorker(), home, "a queue costs more than a fetch");
        }
        assertTrue(homes.size() > 1, homes.toString());
    }

    @DataProvider
    public Object[][] fetchTimes() {
        // how long a fetch takes, the least and the most of 20 new keys that go to the fastest of
        // three
        return new Object[][] {{0.0, 13, 20}, {0.3, 0, 11}};
    }

    /**
     * Busy spells send keys away from home; what that took is learned, and whether the fastest is
     * best.
     */
    @Test(dataProvider = "fetchTimes")
    public void whatAFetchTakesIsLearned(double fetch, int least, int most) {
        SimulatedWorld w = SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(3);
        Set<String> kept = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            List<RequestHandle> handles = new ArrayList<>();
            List<Double> runs = new ArrayList<>();
            for (int job = 0; job < 3; job++) {
                String key = "key" + (3 * i + job) % 10;
                w.did.clear();
                handles.add(w.take("job", "t", 0.1, w.now + SimulatedWorld.LIMIT, key));
                handles.get(job).onStarted(0);
                boolean fetched = kept.add(key + " " + w.lastWorker()) || job == 2;
                runs.add((w.lastWorker() == 2 ? 0.05 : 0.1) + (fetched ? fetch : 0));
            }
            double passed = 0;
            for (double until : runs.stream().sorted().toList()) {
                w.pass(until - passed);
                passed = until;
                for (int job = 0; job < 3; job++) {
                    if (runs.get(job) == until) {
                        w.end(handles.get(job), 0, Outcome.SUCCEEDED);
                    }
                }
            }
        }
        int fastest = 0;
        for (int i = 10; i < 30; i++) {
            w.did.clear();
            RequestHandle handle = w.take("job", "t", 0.1, w.now + SimulatedWorld.LIMIT, "key" + i);
            fastest += w.lastWorker() == 2 ? 1 : 0;
            w.end(handle, 0, Outcome.CANCELLED);
            handle.onClientGone();
        }
        assertTrue(fastest >= least && fastest <= most, "went to the fastest: " + fastest);
    }

    @DataProvider
    public Object[][] oddHints() {
        return new Object[][] {{0.0}, {Double.NaN}, {1e-6}, {3000.0}, {1e9}};
    }

    @Test(dataProvider = "oddHints")
    public void oddHintsGetOneAnswer(double hint) {
        SimulatedWorld w = world();
        RequestHandle handle = w.take(hint);
        assertEquals(w.count("launch") + w.count("bounce"), 1);
        if (!handle.isComplete()) {
            w.end(handle, 0, Outcome.SUCCEEDED);
        }
        assertTrue(handle.isComplete());
        w.serve(0.1, 0.1);
    }

    /** Guards against a worker that errs at once, sheds its work, and so looks cheapest. */
    @Test
    public void aWorkerThatErrsFastIsPutOnProbation() {
        int toBad = world().launchesToBad(100, 0.1, worker -> worker == 1, Outcome.FAILED);
        assertTrue(toBad < 12, "launches to the failing worker: " + toBad);
    }

    /** Guards against a hung worker, which starts nothing and looks merely busy. */
    @Test
    public void aSilentWorkerIsLeftAndItsLaunchRescued() {
        SimulatedWorld w = world().earnCopies();
        w.take(0.1);
        final long silent = w.lastWorker();
        w.watch(20);
        assertEquals(w.count("launch"), 2, w.did.toString());
        assertNotEquals(w.lastWorker(), silent);
        for (int i = 0; i < 5; i++) {
            assertNotEquals(w.serve(0.1, 0.1), silent);
        }
    }

    @DataProvider
    public Object[][] words() {
        // How many times one launch tells of its progress, a second apart; whether it is given up
        // by a time,
        // in tenths of a second, at which its worker as a whole is not silent yet.
        return new Object[][] {
            {Idempotency.IDEMPOTENT, 0, 24, 1},
            {Idempotency.IDEMPOTENT, 9, 80, 0},
            {Idempotency.IDEMPOTENT_BY_KEY, 0, 24, 1},
            {Idempotency.NON_IDEMPOTENT, 0, 24, 0}
        };
    }

    /**
     * Guards against one connection that falls silent at a worker that goes on answering the
     * others.
     */
    @Test(dataProvider = "words")
    public void aSilentLaunchIsRescuedBesideOthersThatGoOn(
            Idempotency effect, int words, int tenths, int cancels) {
        SimulatedWorld.Given given = new SimulatedWorld.Given();
        given.effect = effect;
        given.mayCopy = false;
        given.tellsStart = false;
        given.progressEvery = 1;
        SimulatedWorld w = new SimulatedWorld(given).list(2);
        // Two at a time, so that the others need not wait for the one.
        List<RequestHandle> two = List.of(w.take(1.2), w.take(1.2), w.take(1.2), w.take(1.2));
        w.pass(1.1);
        two.forEach(handle -> handle.onProgress(0, 0.9));
        w.pass(0.1).policy.onWakeup();
        two.forEach(handle -> w.end(handle, 0, Outcome.SUCCEEDED));
        // The first is the faster one, so that the others go there beside the one.
        for (int i = 0; i < 60; i++) {
            RequestHandle handle = w.take(0.1);
            w.pass(w.lastWorker() == 1 ? 0.1 : 0.5).end(handle, 0, Outcome.SUCCEEDED);
        }
        w.did.clear();
        RequestHandle silent = w.take(0.4);
        for (int i = 0; i < tenths; i++) {
            RequestHandle other = w.take(0.1);
            w.pass(0.1).end(other, 0, Outcome.SUCCEEDED);
            w.policy.onWakeup();
            if (i % 10 == 9 && i / 10 < words) {
                silent.onProgress(0, 0.01 * (i + 1));
            }
        }
        assertEquals(w.count("cancel"), cancels, w.did.toString());
    }

    @DataProvider
    public Object[][] ages() {
        // Seconds since a worker's start, and whether it is always chosen beside one that has
        // waits.
        return new Object[][] {{5.0, true}, {19.0, true}, {21.0, false}, {25.0, false}};
    }

    /**
     * Guards against taking a cold worker for as busy as its model, and against all taking to a
     * warm one.
     */
    @Test(dataProvider = "ages")
    public void onlyAColdWorkerHasNoQueueYet(double age, boolean always) {
        int chosen = 0;
        for (int learned = 10; learned < 30; learned++) {
            SimulatedWorld w =
                    SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(1);
            for (int i = 0; i < learned; i++) {
                RequestHandle handle = w.take(0.1);
                // It waited less lately than is usual: a warm one beside it must not look better
                // still.
                w.pass(i < learned - 8 ? 0.8 : 0.3);
                handle.onStarted(0);
                w.pass(0.1);
                w.end(handle, 0, Outcome.SUCCEEDED);
            }
            w.change(2, w.now - age, State.READY).take(0.1);
            chosen += w.lastWorker() == 2 ? 1 : 0;
        }
        assertTrue(always ? chosen == 20 : chosen < 20, "chosen " + chosen + " times of 20");
    }

    /**
     * Guards against sending into a stopped queue where only progress tells that a launch has
     * begun.
     */
    @Test
    public void aLaunchWithoutProgressTellsOfAQueue() {
        SimulatedWorld.Given given = new SimulatedWorld.Given();
        given.tellsStart = false;
        given.progressEvery = 1;
        SimulatedWorld w = new SimulatedWorld(given).list(1);
        RequestHandle first = w.take(0.1);
        w.pass(0.1);
        first.onEnded(0, Outcome.SUCCEEDED, true, new LoadReport(3));
        w.take(0.1);
        w.watch(15).take(0.1);
        assertEquals(w.count("bounce"), 0, "it may have run for as long as no progress is told");
        w.watch(8).take(0.1);
        assertEquals(w.last().substring(0, 6), "bounce");
    }

    /** Guards against copies that feed a jam: silence everywhere must not copy everything. */
    @Test
    public void copiesForSilenceAreRationed() {
        SimulatedWorld w = SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(4);
        for (int i = 0; i < 20; i++) {
            w.take(0.1);
        }
        long first = w.count("launch");
        w.watch(60);
        assertTrue(w.count("launch") - first <= 7, w.did.toString());
    }

    @Test
    public void whatARestartedWorkerHeldIsLaunchedElsewhere() {
        SimulatedWorld w = world();
        w.take(0.1);
        final long restarted = w.lastWorker();
        w.pass(0.3).change(restarted, w.now - 0.1, State.READY);
        assertEquals(w.count("launch"), 2);
        assertNotEquals(w.lastWorker(), restarted);
    }

    @Test
    public void aFullWorkerIsLeftAloneForAWhile() {
        SimulatedWorld w = world();
        RequestHandle handle = w.take(0.1);
        final long full = w.lastWorker();
        w.end(handle, 0, Outcome.REJECTED);
        assertNotEquals(w.lastWorker(), full);
        assertNotEquals(w.serve(0.1, 0.05), full);
    }

    /**
     * Guards against jams: under overload what cannot be in time is bounced while a retry is
     * harmless.
     */
    @Test
    public void overloadIsBouncedEarly() {
        SimulatedWorld w =
                SimulatedWorld.of(Idempotency.NON_IDEMPOTENT, IdempotencyScope.CELL).list(2);
        for (int i = 0; i < 50; i++) {
            w.take(0.5);
        }
        assertTrue(w.count("bounce") > 30, w.did.toString());
        assertTrue(w.count("launch") >= 2);
    }

    @DataProvider
    public Object[][] overlaps() {
        return new Object[][] {
            // how long a second start was known before the end of the first, launches until the
            // first bounce
            {0.02, 2},
            {0.2, 4},
        };
    }

    /** Guards against a start that overtakes an end: slots counted then only ever grow. */
    @Test(dataProvider = "overlaps")
    public void onlySettledStartsCountAsSlots(double overlap, int launches) {
        SimulatedWorld w = SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(1);
        RequestHandle first = w.take(1);
        RequestHandle second = w.take(1);
        first.onStarted(0);
        w.pass(1);
        second.onStarted(0);
        w.pass(overlap).policy.onWakeup();
        w.end(first, 0, Outcome.SUCCEEDED);
        w.pass(1 - overlap);
        w.end(second, 0, Outcome.SUCCEEDED);
        w.pass(60).fill(1);
        assertEquals(w.count("launch"), launches, w.did.toString());
    }

    @DataProvider
    public Object[][] hintsAndRuns() {
        return new Object[][] {
            // whether runs follow their hints, what comes after a hint of 9 s
            {true, "bounce"},
            {false, "launch"},
        };
    }

    /** Guards against rough hints taken at their word. */
    @Test(dataProvider = "hintsAndRuns")
    public void hintsCountAsFarAsRunsFollowThem(boolean follow, String next) {
        SimulatedWorld w = SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(1);
        for (int i = 0; i < 60; i++) {
            double hint = i % 2 == 0 ? 0.05 : 1.0;
            w.serve(hint, follow ? hint : 0.5);
        }
        w.take(9).onStarted(0);
        w.take(0.05);
        assertTrue(w.last().startsWith(next), w.did.toString());
    }

    /** Guards against bouncing for good on waits seen long ago. */
    @Test
    public void oldWaitsFade() {
        SimulatedWorld w = SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(1);
        RequestHandle handle = w.take(0.1, w.now + 100);
        w.pass(20);
        handle.onStarted(0);
        w.end(handle, 0, Outcome.SUCCEEDED);
        w.take(0.1);
        assertTrue(w.last().startsWith("bounce"), w.did.toString());
        w.pass(30).take(0.1);
        assertTrue(w.last().startsWith("launch"), w.did.toString());
    }

    /**
     * Guards against unreachable workers that come back into the choice because most are
     * unreachable.
     */
    @Test
    public void failuresLockOutMoreThanHalf() {
        SimulatedWorld w = SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(4);
        int dead = w.launchesToBad(100, 0.01, worker -> worker > 1, Outcome.CONNECT_FAILED);
        assertTrue(dead < 20, "launches to unreachable workers: " + dead);
    }

    /** Guards against a patient offering that fills the queues in which another starves. */
    @Test
    public void patientOfferingsStopAtTheImpatientOnesBound() {
        SimulatedWorld w = SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(1);
        w.serve(0.5, 0.5);
        w.did.clear();
        for (int i = 0; i < 30; i++) {
            w.take("patient", 0.5, w.now + 100);
        }
        assertTrue(w.count("launch") <= 5, w.did.toString());
    }

    @DataProvider
    public Object[][] tenants() {
        return new Object[][] {{"t", "launch"}, {"greedy", "bounce"}};
    }

    /** Guards against a tenant far past its share that crowds out the others under overload. */
    @Test(dataProvider = "tenants")
    public void aTenantFarPastItsShareBearsShorterWaits(String tenant, String next) {
        SimulatedWorld w = SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(1);
        for (int i = 0; i < 200; i++) {
            RequestHandle handle =
                    w.take("job", i % 10 == 0 ? "t" : "greedy", 0.05, w.now + SimulatedWorld.LIMIT);
            handle.onStarted(0);
            w.pass(0.05).end(handle, 0, Outcome.SUCCEEDED);
        }
        w.take(0.5).onStarted(0);
        w.take("job", tenant, 0.05, w.now + SimulatedWorld.LIMIT);
        assertTrue(w.last().startsWith(next), w.last());
    }

    /**
     * Guards against a release that makes its whole model look slow: cold runs tell of the worker
     * alone.
     */
    @Test
    public void aModelLearnsFromWarmRunsOnly() {
        SimulatedWorld w = SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL).list(1);
        for (int i = 0; i < 5; i++) {
            w.serve(0.2, 0.2);
        }
        w.change(1, Double.NaN, State.DRAINING).change(2, w.now, State.READY);
        for (int i = 0; i < 9; i++) {
            w.serve(0.2, 0.8);
        }
        w.pass(60).change(2, Double.NaN, State.REMOVED).change(3, Double.NaN, State.READY);
        w.fill(0.5);
        assertTrue(
                w.count("launch") >= 3, "a new worker starts at the speed of warm ones: " + w.did);
    }

    /**
     * Guards against a bounce from a fleet with an idle worker, because the fastest one has a
     * queue.
     */
    @Test
    public void anIdleWorkerIsTakenBeforeABounce() {
        SimulatedWorld w = world();
        for (long slow = 1; slow <= 2; slow++) {
            w.change(slow, Double.NaN, State.DRAINING).change(3 - slow, Double.NaN, State.READY);
            for (int i = 0; i < 8; i++) {
                w.serve(0.1, slow == 1 ? 0.8 : 0.025);
            }
        }
        w.change(2, Double.NaN, State.READY).fill(1);
        assertTrue(w.did.stream().anyMatch(s -> s.endsWith(" 2")), w.did.toString());
    }

    /**
     * Guards against coldness counted twice: one still cold is preferred to one that is slower for
     * good.
     */
    @Test
    public void coldRunsCountTheirColdnessOnce() {
        SimulatedWorld w =
                SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL)
                        .change(2, Double.NaN, State.READY);
        for (int i = 0; i < 8; i++) {
            w.serve(0.1, 0.1 / 0.42);
        }
        double start = w.now - 8;
        w.change(2, Double.NaN, State.DRAINING).change(1, start, State.READY);
        for (int i = 0; i < 8; i++) {
            // What it can do at this point of its ramp of 20 s: a run takes so much longer.
            assertEquals(w.serve(0.1, 0.1 / (0.25 + 0.75 * (w.now - start) / 20)), 1);
        }
        w.change(2, Double.NaN, State.READY).take(0.1);
        assertEquals(w.lastWorker(), 1, w.did.toString());
    }

    /**
     * Guards against seeing only the lucky: launches that still wait tell of their model's queues.
     */
    @Test
    public void launchesStillWaitingCount() {
        SimulatedWorld w = world();
        RequestHandle slow = w.take(0.1);
        w.pass(3);
        // Such waits have been seen, long ago: the next one is no silence yet.
        slow.onStarted(0);
        w.end(slow, 0, Outcome.SUCCEEDED);
        w.pass(100).take(0.1);
        assertTrue(w.last().startsWith("launch"), w.did.toString());
        w.watch(15).take(0.1);
        assertTrue(w.last().startsWith("bounce"), w.did.toString());
    }

    /** Guards against a crossing without end to its price: a hint of nothing is no hint. */
    @Test
    public void aHintOfNothingMayCross() {
        SimulatedWorld w =
                new SimulatedWorld(new SimulatedWorld.Given()).change(4, Double.NaN, State.READY);
        w.take(0);
        assertEquals(w.lastWorker(), 4);
    }

    @DataProvider
    public Object[][] servesSome() {
        return new Object[][] {
            // effect, group, seconds since its last answer, launches it gets while the other worker
            // fills up
            {Idempotency.IDEMPOTENT, IdempotencyScope.CELL, 0.0, 1L},
            {Idempotency.IDEMPOTENT_BY_KEY, IdempotencyScope.ALL, 0.0, 1L},
            // An error there would bind these to their group, or end them.
            {Idempotency.IDEMPOTENT_BY_KEY, IdempotencyScope.ZONE, 0.0, 0L},
            {Idempotency.IDEMPOTENT_BY_KEY, IdempotencyScope.CELL, 0.0, 0L},
            {Idempotency.NON_IDEMPOTENT, IdempotencyScope.ALL, 0.0, 0L},
            {Idempotency.IDEMPOTENT, IdempotencyScope.ALL, 2.0, 0L},
        };
    }

    /**
     * While half of a fleet errs now and then, the other half is full: a fifth of all was bounced
     * beside workers that still answered half of what came.
     */
    @Test(dataProvider = "servesSome")
    public void oneThatServesSomeComesBeforeABounce(
            Idempotency effect, IdempotencyScope group, double ago, long launches) {
        SimulatedWorld w =
                SimulatedWorld.of(effect, group).list(2).change(2, Double.NaN, State.DRAINING);
        // On probation, with a pause that outlasts this case; every other launch is answered.
        for (int i = 0; i < 5; i++) {
            for (Outcome outcome : new Outcome[] {Outcome.FAILED, Outcome.SUCCEEDED}) {
                RequestHandle handle = w.take(0.1);
                w.pass(0.02);
                for (int launch = 0; !handle.isComplete(); launch++) {
                    w.end(handle, launch, launch == 0 ? outcome : Outcome.SUCCEEDED);
                }
            }
        }
        w.change(2, Double.NaN, State.READY).pass(ago).fill(1);
        assertEquals(
                w.did.stream()
                        .filter(did -> did.startsWith("launch") && did.endsWith(" 1"))
                        .count(),
                launches,
                w.did.toString());
    }

    /**
     * A process that takes another's place knows the workers as the other did, from its first
     * choice on.
     */
    @Test
    public void goesOnWithWhatAnotherLearned() {
        SimulatedWorld old =
                SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.ALL).list(2);
        for (int i = 0; i < 40; i++) {
            old.did.clear();
            RequestHandle handle = old.take(0.2);
            boolean slow = old.lastWorker() == 1;
            handle.onStarted(0);
            old.pass(slow ? 1 : 0.2);
            old.end(handle, 0, Outcome.SUCCEEDED);
        }
        SimulatedWorld knows =
                SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.ALL).list(2).pass(5);
        knows.policy.importState(old.policy.exportState());
        long slowByOne = 0;
        for (int i = 0; i < 10; i++) {
            slowByOne += knows.pass(2).serve(0.2, 0.2) == 1 ? 1 : 0;
        }
        assertEquals(slowByOne, 0);
    }

    /** Failures go along: a worker on probation at the old process is no fresh one to the new. */
    @Test
    public void goesOnWithAnothersDoubts() {
        SimulatedWorld old =
                SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.ALL).list(2);
        old.launchesToBad(3, 0.2, worker -> true, Outcome.FAILED);
        assertEquals(old.policy.avoidedEndpoints(), 2);
        SimulatedWorld next =
                SimulatedWorld.of(Idempotency.IDEMPOTENT, IdempotencyScope.ALL).list(2);
        next.policy.importState(old.policy.exportState());
        assertEquals(next.policy.avoidedEndpoints(), 2);
    }
}
