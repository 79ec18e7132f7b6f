package wheelroute.kit.audit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.kit.SmallScenario;
import wheelroute.kit.model.AttemptEnding;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.ClientRequest;
import wheelroute.kit.model.ClusterModel;
import wheelroute.kit.model.EndpointRegistry;
import wheelroute.kit.model.FinalResponse;
import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.model.WorkerAttempt;
import wheelroute.kit.report.Recorder;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.simulation.SimulatedTime;

/**
 * Dispatchers that break a rule on purpose, each in one way: every one is caught, and an honest one
 * is not.
 */
public class AuditorTest {
    private static final double SLACK = 0.01;
    private static final int NEAR = 0;
    private static final int ALSO_NEAR = 1;
    private static final int FAR = 2;

    /** A world of one request and a dispatcher that does as the case says. */
    private static final class Play {
        final SimulatedTime time = new SimulatedTime();
        final Scenario scenario;
        final Auditor auditor;
        final ClusterModel world;
        final ClientAttempt submitted;
        final List<AttemptEnding> endings = new ArrayList<>();

        Play(String requestClass, String more) {
            scenario = SmallScenario.scenario(more);
            auditor = new Auditor(scenario, time, SLACK);
            world = new ClusterModel(scenario, time, new SeededRandom(1), 5, auditor);
            Scenario.RequestClass of =
                    scenario.requestClasses().stream()
                            .filter(o -> o.name().equals(requestClass))
                            .findFirst()
                            .orElseThrow();
            ClientRequest request =
                    new ClientRequest(
                            0, 0, of, Scenario.Tenant.NONE, 0.05, 0.05, Double.POSITIVE_INFINITY);
            submitted = new ClientAttempt(request, 0, 0, time.now(), of.deadline());
            auditor.onSent(submitted);
        }

        WorkerAttempt launch(int worker) {
            return launch(worker, 0.05);
        }

        WorkerAttempt launch(int worker, double work) {
            WorkerAttempt attempt =
                    new WorkerAttempt(
                            submitted.key(),
                            work,
                            1,
                            0,
                            new WorkerAttempt.Reply() {
                                @Override
                                public void onStarted() {
                                    // Of no interest here.
                                }

                                @Override
                                public void onProgress(double share) {
                                    // Of no interest here.
                                }

                                @Override
                                public void onEnded(AttemptEnding ending, double freeSlots) {
                                    endings.add(ending);
                                }
                            });
            world.workers.get(worker).accept(attempt);
            return attempt;
        }

        void answer(FinalResponse response) {
            auditor.onResponse(submitted, response);
        }

        /** Until so long after the start. */
        void pass(double seconds) {
            boolean[] there = {false};
            time.schedule(seconds, () -> there[0] = true);
            while (!there[0] && time.step()) {
                // Each step moves the simulated clock on.
            }
        }
    }

    private record Rogue(
            String name, Rule rule, String offering, String more, Consumer<Play> does) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static Rogue rogue(
            String name, Rule rule, String requestClass, String more, Consumer<Play> does) {
        return new Rogue(name, rule, requestClass, more, does);
    }

    private static final String ERRS = "[[faults]]\nkind = \"burst\"\nat = 0\nfor = 4\n";
    private static final String NO_COPY = "[terms]\nmay_copy = false\n";

    private static void begin(Play play) {
        play.world.start(new Idle());
        play.pass(0.001);
    }

    @DataProvider
    public Object[][] rogues() {
        Rogue[] all = {
            rogue(
                    "answers twice",
                    Rule.ONE_ANSWER,
                    "free",
                    "",
                    p -> {
                        p.answer(FinalResponse.REJECTED);
                        p.answer(FinalResponse.FAILED);
                    }),
            rogue(
                    "stands still, and launches too late as it goes on",
                    Rule.ONE_ANSWER,
                    "free",
                    "",
                    p -> {
                        p.pass(0.03);
                        p.auditor.onDispatcherPaused(0);
                        p.pass(2.3);
                        p.auditor.onGaveUp(p.submitted, false);
                        p.auditor.onDispatcherResumed(0);
                        p.launch(NEAR);
                    }),
            rogue(
                    "stands still, and forgets what it was told before",
                    Rule.NO_LATE_LAUNCH,
                    "free",
                    "",
                    p -> {
                        p.auditor.onNotified(0, NEAR, EndpointRegistry.State.DRAINING);
                        p.pass(1.5);
                        p.auditor.onDispatcherPaused(0);
                        p.pass(0.7);
                        p.auditor.onDispatcherResumed(0);
                        p.launch(NEAR);
                    }),
            rogue(
                    "goes on, and learns nothing",
                    Rule.NO_LATE_LAUNCH,
                    "free",
                    "",
                    p -> {
                        p.auditor.onDispatcherPaused(0);
                        p.auditor.onNotified(0, NEAR, EndpointRegistry.State.DRAINING);
                        p.auditor.onDispatcherResumed(0);
                        p.pass(2.2);
                        p.launch(NEAR);
                    }),
            rogue(
                    "never answers",
                    Rule.ONE_ANSWER,
                    "free",
                    "",
                    p -> {
                        p.pass(2.001);
                        p.auditor.onGaveUp(p.submitted, false);
                    }),
            rogue("never answers, and nobody waits", Rule.ONE_ANSWER, "free", "", p -> p.pass(2.1)),
            rogue(
                    "answers late",
                    Rule.ONE_ANSWER,
                    "free",
                    "",
                    p -> {
                        p.pass(2.1);
                        p.answer(FinalResponse.REJECTED);
                    }),
            rogue(
                    "makes a result up",
                    Rule.ONE_ANSWER,
                    "free",
                    "",
                    p -> p.answer(FinalResponse.SUCCEEDED)),
            rogue(
                    "drops the connection",
                    Rule.ONE_ANSWER,
                    "free",
                    "",
                    p -> p.auditor.onConnectionLost(p.submitted)),
            rogue(
                    "launches after the answer",
                    Rule.ONE_ANSWER,
                    "free",
                    "",
                    p -> {
                        p.answer(FinalResponse.REJECTED);
                        p.pass(0.1);
                        p.launch(NEAR);
                    }),
            rogue(
                    "launches after the outer limit",
                    Rule.ONE_ANSWER,
                    "free",
                    "",
                    p -> {
                        p.pass(2.5);
                        p.launch(NEAR);
                    }),
            rogue(
                    "launches for a client that left while it waited",
                    Rule.ONE_ANSWER,
                    "free",
                    "",
                    p -> {
                        p.pass(0.1);
                        p.auditor.onGaveUp(p.submitted, true);
                        p.pass(0.32);
                        p.launch(NEAR);
                    }),
            rogue(
                    "stands still, and launches for a client that left meanwhile",
                    Rule.ONE_ANSWER,
                    "free",
                    "",
                    p -> {
                        p.pass(0.1);
                        p.auditor.onDispatcherPaused(0);
                        p.auditor.onGaveUp(p.submitted, true);
                        p.pass(0.4);
                        p.auditor.onDispatcherResumed(0);
                        p.launch(NEAR);
                    }),
            rogue(
                    "launches the unrepeatable again",
                    Rule.NO_EFFECT_TWICE,
                    "once",
                    ERRS,
                    p -> {
                        begin(p);
                        p.launch(NEAR);
                        p.pass(0.1);
                        p.launch(FAR);
                    }),
            rogue(
                    "has its effect twice",
                    Rule.NO_EFFECT_TWICE,
                    "once",
                    "",
                    p -> {
                        p.launch(NEAR);
                        p.pass(0.1);
                        p.launch(ALSO_NEAR);
                    }),
            rogue(
                    "bounces what may have run",
                    Rule.NO_EFFECT_TWICE,
                    "once",
                    ERRS,
                    p -> {
                        begin(p);
                        p.launch(NEAR);
                        p.pass(0.1);
                        p.answer(FinalResponse.REJECTED);
                    }),
            rogue(
                    "bounces what a zone alone would know",
                    Rule.NO_EFFECT_TWICE,
                    "keyed",
                    ERRS,
                    p -> {
                        begin(p);
                        p.launch(NEAR);
                        p.pass(0.1);
                        p.answer(FinalResponse.REJECTED);
                    }),
            rogue(
                    "repeats outside the group",
                    Rule.NO_EFFECT_TWICE,
                    "keyed",
                    ERRS,
                    p -> {
                        begin(p);
                        p.launch(NEAR);
                        p.pass(0.1);
                        p.launch(FAR);
                    }),
            rogue(
                    "repeats after the window",
                    Rule.NO_EFFECT_TWICE,
                    "keyed",
                    ERRS,
                    p -> {
                        begin(p);
                        p.launch(NEAR);
                        p.pass(1.2);
                        p.launch(ALSO_NEAR);
                    }),
            rogue(
                    "copies where that is forbidden",
                    Rule.NO_EFFECT_TWICE,
                    "free",
                    NO_COPY,
                    p -> {
                        p.launch(NEAR, 1);
                        p.pass(0.1);
                        p.launch(ALSO_NEAR);
                        p.pass(0.1);
                    }),
            rogue(
                    "launches to one told draining",
                    Rule.NO_LATE_LAUNCH,
                    "free",
                    "",
                    p -> {
                        p.auditor.onNotified(0, NEAR, EndpointRegistry.State.DRAINING);
                        // The grace is 2 s and the deadline as long: one that waits longer is
                        // needed.
                        ClientAttempt later = later(p, 2.1);
                        p.auditor.onSent(later);
                        p.world
                                .workers
                                .get(NEAR)
                                .accept(new WorkerAttempt(later.key(), 0.05, 1, 0, NOBODY));
                    }),
            rogue(
                    "launches to one told gone",
                    Rule.NO_LATE_LAUNCH,
                    "free",
                    "",
                    p -> {
                        p.auditor.onNotified(0, FAR, EndpointRegistry.State.GONE);
                        ClientAttempt later = later(p, 2.1);
                        p.auditor.onSent(later);
                        p.world
                                .workers
                                .get(FAR)
                                .accept(new WorkerAttempt(later.key(), 0.05, 1, 0, NOBODY));
                    }),
            rogue(
                    "ends, and nobody told it to",
                    Rule.STAYS_UP,
                    "free",
                    "",
                    p -> p.auditor.onCrash(0, "")),
            rogue(
                    "drops one when its other process is long gone",
                    Rule.ONE_ANSWER,
                    "free",
                    "",
                    p -> {
                        p.auditor.setDispatcherSplit(0, true);
                        p.auditor.setDispatcherSplit(0, false);
                        ClientAttempt next = later(p, 0.1);
                        p.auditor.onSent(next);
                        p.auditor.onConnectionLost(next);
                    }),
            rogue(
                    "launches later than its slow way explains",
                    Rule.ONE_ANSWER,
                    "free",
                    "",
                    p -> {
                        p.auditor.setLinkDelay(0, NEAR, 1);
                        p.answer(FinalResponse.REJECTED);
                        p.pass(1.2);
                        p.launch(NEAR);
                    }),
            rogue(
                    "launches late on a way that was slow long ago",
                    Rule.ONE_ANSWER,
                    "free",
                    "",
                    p -> {
                        p.auditor.setLinkDelay(0, NEAR, 0.4);
                        p.auditor.setLinkDelay(0, NEAR, 0);
                        p.pass(1);
                        p.answer(FinalResponse.REJECTED);
                        p.pass(0.3);
                        p.launch(NEAR);
                    }),
            rogue(
                    "has its effect twice on a harmed way",
                    Rule.NO_EFFECT_TWICE,
                    "once",
                    "",
                    p -> {
                        p.auditor.setClientsImpaired(0, true);
                        p.launch(NEAR);
                        p.pass(0.1);
                        p.launch(ALSO_NEAR);
                    }),
            rogue(
                    "keeps silent after its clients' way has healed",
                    Rule.ONE_ANSWER,
                    "free",
                    "",
                    p -> {
                        p.auditor.setClientsImpaired(0, true);
                        p.auditor.setClientsImpaired(0, false);
                        ClientAttempt next = later(p, 0.1);
                        p.auditor.onSent(next);
                        p.pass(2.1);
                        p.auditor.onGaveUp(next, false);
                    }),
            rogue(
                    "pushes a cold worker over",
                    Rule.COLD_WORKER,
                    "free",
                    "[[faults]]\nkind = \"crash\"\nat = 0.1\nfor = 0.1\ngroup = \"near\"\n",
                    p -> {
                        p.world.start(new Idle());
                        p.pass(0.3);
                        for (int i = 0; i < 40; i++) {
                            p.launch(NEAR, 0.2);
                        }
                    }),
        };
        Object[][] rows = new Object[all.length][];
        for (int i = 0; i < all.length; i++) {
            rows[i] = new Object[] {all[i]};
        }
        return rows;
    }

    private static ClientAttempt later(Play play, double after) {
        play.answer(FinalResponse.REJECTED);
        play.pass(after);
        return new ClientAttempt(play.submitted.request(), 1, 0, play.time.now(), 2);
    }

    private static final WorkerAttempt.Reply NOBODY =
            new WorkerAttempt.Reply() {
                @Override
                public void onStarted() {
                    // Nobody hears it.
                }

                @Override
                public void onProgress(double share) {
                    // Nobody hears it.
                }

                @Override
                public void onEnded(AttemptEnding ending, double freeSlots) {
                    // Nobody hears it.
                }
            };

    /** Dispatchers that no fault is about. */
    private static final class Idle implements ClusterModel.DispatcherControl {
        @Override
        public void kill(int dispatcher) {
            throw new IllegalStateException();
        }

        @Override
        public void terminate(int dispatcher) {
            throw new IllegalStateException();
        }

        @Override
        public void start(int dispatcher, Scenario.How how) {
            throw new IllegalStateException();
        }
    }

    @Test(dataProvider = "rogues")
    public void everyRogueIsCaughtByTheRuleItBreaks(Rogue rogue) {
        Play play = new Play(rogue.offering(), rogue.more());
        rogue.does().accept(play);
        play.auditor.finish();
        assertTrue(play.auditor.count(rogue.rule()) > 0, play.auditor.breaches().toString());
        Auditor.Breach first =
                play.auditor.breaches().stream()
                        .filter(b -> b.rule() == rogue.rule())
                        .findFirst()
                        .orElseThrow();
        // A worker that fell over is no one request's story; all others are told whole.
        assertEquals(
                first.history().isEmpty(),
                rogue.rule() == Rule.COLD_WORKER || rogue.rule() == Rule.STAYS_UP,
                first.toString());
    }

    @DataProvider
    public Object[][] honest() {
        return new Object[][] {
            {
                rogue(
                        "answers once, in time",
                        null,
                        "once",
                        "",
                        p -> {
                            p.launch(NEAR);
                            p.pass(0.2);
                            p.answer(FinalResponse.SUCCEEDED);
                        })
            },
            {
                rogue(
                        "goes elsewhere after being turned away",
                        null,
                        "once",
                        "",
                        p -> {
                            for (int i = 0; i < 5; i++) {
                                p.world
                                        .workers
                                        .get(FAR)
                                        .accept(new WorkerAttempt(-1, 10, 1, 0, NOBODY));
                            }
                            WorkerAttempt full = p.launch(NEAR);
                            p.world.workers.get(NEAR).cancel(full);
                        })
            },
            {
                rogue(
                        "repeats in the group and the window",
                        null,
                        "keyed",
                        ERRS,
                        p -> {
                            begin(p);
                            p.launch(NEAR);
                            p.pass(0.5);
                            p.launch(ALSO_NEAR);
                            p.pass(0.5);
                            p.answer(FinalResponse.FAILED);
                        })
            },
            {
                rogue(
                        "ends the first copy before the second",
                        null,
                        "free",
                        NO_COPY,
                        p -> {
                            WorkerAttempt first = p.launch(NEAR, 1);
                            p.auditor.onClosed(first);
                            p.launch(ALSO_NEAR);
                            p.pass(0.2);
                            p.answer(FinalResponse.SUCCEEDED);
                        })
            },
            {
                rogue(
                        "dies with what it holds",
                        null,
                        "free",
                        "",
                        p -> {
                            p.auditor.onDispatcherStopped(0);
                            p.auditor.onConnectionLost(p.submitted);
                            p.pass(3);
                        })
            },
            {
                rogue(
                        "stands still past the limit of what it holds",
                        null,
                        "once",
                        "",
                        p -> {
                            p.auditor.onDispatcherPaused(0);
                            p.pass(3);
                            p.auditor.onGaveUp(p.submitted, false);
                            p.auditor.onDispatcherResumed(0);
                        })
            },
            {
                rogue(
                        "launches at a worker that drained while it stood still, before it can know",
                        null,
                        "free",
                        "",
                        p -> {
                            p.auditor.onDispatcherPaused(0);
                            p.auditor.onNotified(0, NEAR, EndpointRegistry.State.DRAINING);
                            p.pass(1);
                            p.auditor.onDispatcherResumed(0);
                            p.launch(NEAR);
                            p.pass(0.2);
                            p.answer(FinalResponse.SUCCEEDED);
                        })
            },
            {
                rogue(
                        "gets it late over a harmed way, and launches when nobody waits",
                        null,
                        "free",
                        "",
                        p -> {
                            p.auditor.setClientsImpaired(0, true);
                            p.pass(3.5);
                            p.auditor.onGaveUp(p.submitted, false);
                            p.auditor.setClientsImpaired(0, false);
                            p.auditor.onSent(
                                    new ClientAttempt(
                                            p.submitted.request(), 1, 1, p.time.now(), 2));
                            p.launch(NEAR);
                        })
            },
            {
                rogue(
                        "launches on a slow way, and answers in the meantime",
                        null,
                        "free",
                        "",
                        p -> {
                            p.auditor.setLinkDelay(0, NEAR, 1);
                            p.answer(FinalResponse.REJECTED);
                            p.pass(0.9);
                            p.launch(NEAR);
                        })
            },
            {
                rogue(
                        "is stopped in the turn in which it launches",
                        null,
                        "once",
                        "",
                        p -> {
                            p.pass(0.01);
                            p.auditor.onDispatcherPaused(0);
                            p.pass(2.5);
                            p.auditor.onGaveUp(p.submitted, false);
                            p.auditor.onDispatcherResumed(0);
                            p.launch(NEAR);
                        })
            },
            {
                rogue(
                        "is handed it as one of its two processes dies",
                        null,
                        "once",
                        "",
                        p -> {
                            p.auditor.setDispatcherSplit(0, true);
                            ClientAttempt next = later(p, 0.01);
                            p.auditor.onSent(next);
                            p.auditor.setDispatcherSplit(0, false);
                            p.auditor.onConnectionLost(next);
                        })
            },
            {
                rogue(
                        "has no room for one more connection",
                        null,
                        "free",
                        "",
                        p -> {
                            p.auditor.onRefused(p.submitted);
                            p.pass(3);
                        })
            },
            {
                rogue(
                        "launches in the moment in which its client leaves",
                        null,
                        "free",
                        "",
                        p -> {
                            p.pass(0.1);
                            p.auditor.onGaveUp(p.submitted, true);
                            p.pass(0.3);
                            p.launch(NEAR);
                        })
            },
            {
                rogue(
                        "is left by its client",
                        null,
                        "free",
                        "",
                        p -> {
                            p.auditor.onGaveUp(p.submitted, true);
                            p.pass(3);
                        })
            },
        };
    }

    @Test(dataProvider = "honest")
    public void theHonestAreNotBlamed(Rogue honest) {
        Play play = new Play(honest.offering(), honest.more());
        honest.does().accept(play);
        play.auditor.finish();
        // Attempts of nobody's are only there to fill a worker.
        assertFalse(
                play.auditor.breaches().stream().anyMatch(b -> !b.history().isEmpty()),
                play.auditor.breaches().toString());
    }

    /**
     * A bounce promises that a retry does no harm: the auditor holds it to that over all tries of a
     * request.
     */
    @Test
    public void anEffectThatABounceDeniedIsFoundAtTheRetry() {
        Play play = new Play("once", "");
        play.launch(NEAR);
        play.pass(0.01);
        play.answer(FinalResponse.REJECTED);
        ClientAttempt retry = new ClientAttempt(play.submitted.request(), 1, 0, play.time.now(), 1);
        play.auditor.onSent(retry);
        play.world.workers.get(FAR).accept(new WorkerAttempt(retry.key(), 0.05, 1, 0, NOBODY));
        assertEquals(
                play.auditor.count(Rule.NO_EFFECT_TWICE), 2, play.auditor.breaches().toString());
    }

    /**
     * A run of any length takes bounded memory: what is over is forgotten, and not blamed for that.
     */
    @Test
    public void oldSubmissionsAreForgotten() {
        Play play = new Play("free", "");
        play.answer(FinalResponse.REJECTED);
        Recorder recorder = new Recorder(play.scenario, play.time, 5, play.auditor);
        for (int i = 1; i < 50; i++) {
            play.pass(1);
            ClientRequest request =
                    new ClientRequest(
                            i,
                            i,
                            play.submitted.request().requestClass(),
                            Scenario.Tenant.NONE,
                            0.05,
                            0.05,
                            9);
            ClientAttempt next = new ClientAttempt(request, 0, 0, play.time.now(), 2);
            recorder.onSent(next);
            recorder.onResponse(next, FinalResponse.REJECTED);
        }
        play.auditor.finish();
        assertEquals(play.auditor.total(), 0, play.auditor.breaches().toString());
        assertTrue(play.auditor.recordCount() < 10, play.auditor.recordCount() + " are kept");
    }
}
