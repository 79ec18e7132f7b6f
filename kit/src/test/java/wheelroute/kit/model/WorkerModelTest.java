package wheelroute.kit.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.kit.SmallScenario;
import wheelroute.kit.audit.Auditor;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.scenario.ScenarioReader;
import wheelroute.kit.simulation.SimulatedTime;

/** One worker, told what happens to it; what it says is noted with its time. */
public class WorkerModelTest {
    private SimulatedTime time = new SimulatedTime();
    private final List<String> said = new ArrayList<>();

    private WorkerModel worker(String more) {
        return worker(SmallScenario.scenario(more));
    }

    private WorkerModel worker(Scenario scenario) {
        said.clear();
        time = new SimulatedTime();
        ClusterModel cluster =
                new ClusterModel(
                        scenario, time, new SeededRandom(1), 5, new Auditor(scenario, time, 0));
        return cluster.workers.get(0);
    }

    private WorkerAttempt send(WorkerModel worker, String name, double work) {
        return send(worker, name, work, 1, 0);
    }

    private WorkerAttempt send(
            WorkerModel worker, String name, double work, int slots, double memory) {
        double sentAt = time.now();
        WorkerAttempt attempt =
                new WorkerAttempt(
                        name.hashCode(),
                        work,
                        slots,
                        memory,
                        new WorkerAttempt.Reply() {
                            private void note(String what) {
                                said.add(
                                        name
                                                + " "
                                                + what
                                                + String.format(
                                                        Locale.ROOT, " %.2f", time.now() - sentAt));
                            }

                            @Override
                            public void onStarted() {
                                note("started");
                            }

                            @Override
                            public void onProgress(double share) {
                                note(String.format(Locale.ROOT, "at %.2f", share));
                            }

                            @Override
                            public void onEnded(AttemptEnding ending, double freeSlots) {
                                note(
                                        ending
                                                + (Double.isNaN(freeSlots)
                                                        ? ""
                                                        : " free " + (int) freeSlots));
                            }
                        });
        worker.accept(attempt);
        return attempt;
    }

    private void pass(double seconds) {
        boolean[] there = {false};
        time.schedule(seconds, () -> there[0] = true);
        while (!there[0] && time.step()) {
            // Each step moves the simulated clock on.
        }
    }

    @DataProvider
    public Object[][] tips() {
        return new Object[][] {
            // mean work of a request, work that comes at a moment, whether it stands: 4 x 0.2 x 2
            // slots x 3 s
            {"0", 4.7, true}, {"0", 4.9, false},
            // 9.6 requests, and 2 root 9.6 + 2 more of them by chance
            {"0.5", 8.8, true}, {"0.5", 9.0, false},
        };
    }

    @Test(dataProvider = "tips")
    public void aColdWorkerFallsWhereThePageSays(String request, double work, boolean stands)
            throws Exception {
        WorkerModel w =
                worker(
                        ScenarioReader.read(
                                "small",
                                SmallScenario.TEXT.replace(
                                        "cold_for = 10",
                                        "cold_for = 10\ntip_request = " + request)));
        w.crash();
        w.start();
        send(w, "a", work / 2);
        send(w, "b", work / 2);
        assertEquals(w.isUp(), stands);
    }

    private interface Deed {
        void does(WorkerModelTest t, WorkerModel w);
    }

    @DataProvider
    public Object[][] deeds() {
        return new Object[][] {
            {
                "two slots, one queue, in order",
                "",
                (Deed)
                        (t, w) -> {
                            t.send(w, "a", 0.4);
                            t.send(w, "b", 0.2);
                            t.send(w, "c", 0.1);
                        },
                "a started 0.00, b started 0.00, b SUCCEEDED 0.20, c started 0.20, c SUCCEEDED 0.30, a SUCCEEDED 0.40"
            },
            {
                "a full queue turns away",
                "",
                (Deed)
                        (t, w) -> {
                            for (String name : List.of("a", "b", "c", "d", "e", "f")) {
                                t.send(w, name, 9);
                            }
                        },
                "a started 0.00, b started 0.00, f REJECTED 0.00"
            },
            {
                "a wide job waits for its slots",
                "",
                (Deed)
                        (t, w) -> {
                            t.send(w, "a", 0.1);
                            t.send(w, "b", 0.1, 2, 0);
                        },
                "a started 0.00, a SUCCEEDED 0.10, b started 0.10, b SUCCEEDED 0.20"
            },
            {
                "a stall holds what runs and what waits",
                "",
                (Deed)
                        (t, w) -> {
                            t.send(w, "a", 0.25);
                            t.pass(0.1);
                            w.setStalled(true);
                            t.send(w, "b", 0.1);
                            t.pass(1);
                            w.setStalled(false);
                        },
                "a started 0.00, b started 1.00, b SUCCEEDED 1.10, a SUCCEEDED 1.25"
            },
            {
                "a slow neighbour stretches what is left",
                "",
                (Deed)
                        (t, w) -> {
                            t.send(w, "a", 0.2);
                            t.pass(0.1);
                            w.changeSpeed(0.5);
                        },
                "a started 0.00, a SUCCEEDED 0.30"
            },
            {
                "errors come at once",
                "",
                (Deed)
                        (t, w) -> {
                            w.changeFailureRate(1);
                            t.send(w, "a", 5);
                        },
                "a FAILED 0.00"
            },
            {
                "silence, and then a break",
                "",
                (Deed)
                        (t, w) -> {
                            w.setSilent(true);
                            t.send(w, "a", 0.1);
                            t.pass(0.5);
                            w.setSilent(false);
                            t.send(w, "b", 0.1);
                        },
                "a CONNECTION_LOST 0.50, b started 0.00, b SUCCEEDED 0.10"
            },
            {
                "a cut hides what came before and during it",
                "",
                (Deed)
                        (t, w) -> {
                            t.send(w, "a", 0.1);
                            w.setPartitioned(true);
                            t.send(w, "b", 0.1);
                            t.pass(1);
                            w.setPartitioned(false);
                        },
                "a started 0.00, b CONNECTION_LOST 1.00, a CONNECTION_LOST 1.00"
            },
            {
                "faults of two kinds overlap",
                "",
                (Deed)
                        (t, w) -> {
                            w.setSilent(true);
                            w.setStalled(true);
                            t.send(w, "a", 0.1);
                            t.pass(0.3);
                            w.setSilent(false);
                            t.pass(0.2);
                            w.setStalled(false);
                        },
                "a started 0.50, a SUCCEEDED 0.60"
            },
            {
                "a crash breaks all, and nothing comes after it",
                "",
                (Deed)
                        (t, w) -> {
                            t.send(w, "a", 0.1);
                            t.send(w, "b", 0.1);
                            t.send(w, "c", 0.1);
                            w.crash();
                            assertTrue(!w.isUp());
                            t.pass(1);
                            w.start();
                        },
                "a started 0.00, b started 0.00, a CONNECTION_LOST 0.00, b CONNECTION_LOST 0.00, c CONNECTION_LOST 0.00"
            },
            {
                "cold, a job takes longer",
                "",
                (Deed)
                        (t, w) -> {
                            w.crash();
                            w.start();
                            t.send(w, "a", 0.1);
                        },
                "a started 0.00, a SUCCEEDED 0.50"
            },
            {
                "too much while cold pushes it over",
                "",
                (Deed)
                        (t, w) -> {
                            w.crash();
                            w.start();
                            t.send(w, "a", 4.7);
                            t.send(w, "b", 0.2);
                            assertTrue(!w.isUp());
                        },
                "a started 0.00, b CONNECTION_LOST 0.00, a CONNECTION_LOST 0.00"
            },
            {
                "progress is told as it is made",
                "[terms]\nprogress_every = 0.1\n",
                (Deed) (t, w) -> t.send(w, "a", 0.25),
                "a started 0.00, a at 0.40 0.10, a at 0.80 0.20, a SUCCEEDED 0.25"
            },
            {
                "what waits is forgotten when its connection ends",
                "",
                (Deed)
                        (t, w) -> {
                            t.send(w, "a", 0.2);
                            t.send(w, "b", 0.2);
                            WorkerAttempt c = t.send(w, "c", 9);
                            t.send(w, "d", 0.1);
                            w.cancel(c);
                        },
                "a started 0.00, b started 0.00, a SUCCEEDED 0.20, d started 0.20, b SUCCEEDED 0.20, d SUCCEEDED 0.30"
            },
            {
                "reports are as old as they say",
                "[terms]\nreport_lag = 0.15\n",
                (Deed)
                        (t, w) -> {
                            t.send(w, "a", 0.1);
                            t.pass(0.1);
                            t.send(w, "b", 0.1);
                            t.pass(0.15);
                            t.send(w, "c", 0.1);
                        },
                "a started 0.00, a SUCCEEDED free 2 0.10, b started 0.00, b SUCCEEDED free 1 0.10, c started 0.00, "
                        + "c SUCCEEDED free 2 0.10"
            },
            {
                "late reports are older",
                "[terms]\nreport_lag = 0\n",
                (Deed)
                        (t, w) -> {
                            t.send(w, "a", 0.5);
                            t.send(w, "b", 0.1);
                            t.pass(0.1);
                            w.delayReports(5);
                        },
                "a started 0.00, b started 0.00, b SUCCEEDED free 1 0.10, a SUCCEEDED free 2 0.50"
            },
        };
    }

    @Test(dataProvider = "deeds")
    public void aWorkerDoesAsTheModelSays(String what, String more, Deed deed, String expected) {
        WorkerModel worker = worker(more);
        deed.does(this, worker);
        pass(3);
        assertEquals(String.join(", ", said), expected, what);
    }

    /** It goes only when all have had time to hear, and when it is empty. */
    @Test
    public void aDrainEndsWhatIsThereFirst() {
        WorkerModel worker = worker("");
        send(worker, "a", 2.8);
        worker.drain();
        pass(2.5);
        assertTrue(worker.isUp(), "it went with a job running");
        pass(0.5);
        assertTrue(!worker.isUp(), "it stayed though empty");
        assertEquals(said.get(1), "a SUCCEEDED 2.80");
        worker.start();
        assertTrue(worker.isUp() && worker.warmth(time.now()) < 1, "it came back warm");
    }

    /**
     * The list speaks later than the worker acts, and never brings an older life back over a newer.
     */
    @Test
    public void theListLags() {
        time = new SimulatedTime();
        Scenario scenario = SmallScenario.scenario("[terms]\nlist_lag = 1\n");
        ClusterModel cluster =
                new ClusterModel(
                        scenario, time, new SeededRandom(1), 5, new Auditor(scenario, time, 0));
        List<String> heard = new ArrayList<>();
        double from = time.now();
        cluster.registry.watch(
                entry ->
                        heard.add(
                                entry.worker().name
                                        + " "
                                        + entry.state()
                                        + String.format(Locale.ROOT, " %.1f", time.now() - from)));
        WorkerModel worker = cluster.workers.get(0);
        worker.crash();
        pass(0.5);
        cluster.registry.addLag(2);
        worker.start();
        cluster.registry.addLag(-2);
        pass(0.1);
        worker.crash();
        pass(5);
        // The start's word takes 3 s, the second crash's 1 s: the later life's end is told first
        // and stays.
        assertEquals(heard, List.of("near-0 GONE 1.0", "near-0 GONE 1.6"));
    }
}
