package wheelroute.kit.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.kit.SmallScenario;
import wheelroute.kit.audit.Rule;
import wheelroute.kit.report.HtmlWriter;
import wheelroute.kit.report.JsonWriter;
import wheelroute.kit.report.Report;
import wheelroute.kit.report.TableWriter;
import wheelroute.kit.scenario.FigureNames;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.scenario.ScenarioException;
import wheelroute.kit.scenario.ScenarioLibrary;
import wheelroute.kit.strategy.Strategies;

/** Whole runs on the simulated clock. */
public class SimulationRunTest {
    private static final double QUICK = 30;
    private static final int SCHEDULES = 60;
    private static final int THIRTIES = 50;

    private static Report play(Scenario scenario, long seed, double seconds, String brain)
            throws Exception {
        return SimulationRun.run(
                scenario,
                seed,
                seconds,
                Map.of(),
                brain,
                w -> Strategies.factory(brain, w),
                () -> false);
    }

    @DataProvider
    public Object[][] shipped() throws ScenarioException {
        List<Object[]> rows = new ArrayList<>();
        for (String name : ScenarioLibrary.NAMES) {
            // What needs processes of its own is played by its rehearsal.
            if (ScenarioLibrary.find(name).clocks().contains("virtual")) {
                rows.add(new Object[] {name});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /** The module keeps the rules and what each shipped scenario expects, and beats chance. */
    @Test(dataProvider = "shipped")
    public void aShippedScenarioHolds(String name) throws Exception {
        Scenario scenario = ScenarioLibrary.find(name);
        // A third of the largest is enough to see it hold, and keeps this test short.
        double seconds = scenario.dispatcherCount() > 10 ? QUICK / 3 : QUICK;
        Report report = play(scenario, 7, seconds, Strategies.POLICY);
        assertTrue(report.holds(), TableWriter.text(report));
    }

    /**
     * What thirty dispatchers send a cold worker, each by what it sees alone, does not push it
     * over.
     */
    @Test
    public void thirtyDispatchersPushNoColdWorkerOver() throws Exception {
        Scenario scenario = ScenarioLibrary.find("cold-thirty");
        for (int seed = 1; seed <= THIRTIES; seed++) {
            Report report = play(scenario, seed, QUICK / 2, Strategies.POLICY);
            assertTrue(report.keepsRules(), seed + ": " + TableWriter.text(report));
        }
    }

    /** Textbook dispatching keeps the first three rules too: what it lacks is service. */
    @Test
    public void baselinesKeepTheRulesAndServeLess() throws Exception {
        Scenario scenario = ScenarioLibrary.find("overload");
        double module =
                play(scenario, 3, QUICK, Strategies.POLICY).figures().get(FigureNames.SERVICE);
        for (String brain : Strategies.names()) {
            Report report = play(scenario, 3, QUICK, brain);
            assertTrue(report.keepsRules(), TableWriter.text(report));
            if (!brain.equals(Strategies.POLICY) && !brain.equals(Strategies.OMNISCIENT)) {
                double service = report.figures().get(FigureNames.SERVICE);
                assertTrue(
                        service < module - 0.1, brain + " serves " + service + " beside " + module);
            }
        }
    }

    /**
     * What a real process would do as it stands still or loses its ways, on this clock: drawn
     * schedules.
     */
    @Test
    public void drawnSchedulesKeepTheRules() throws Exception {
        Scenario scenario =
                SmallScenario.scenario(
                        "[drawn]\nfaults = 5\nlongest = 2\n[clients]\nretries = 2\n", 4);
        for (int seed = 0; seed < SCHEDULES; seed++) {
            Report report = play(scenario, seed, 5, Strategies.POLICY);
            Report.Row all = report.total();
            assertTrue(report.keepsRules(), seed + ": " + TableWriter.text(report));
            assertEquals(
                    all.inTime()
                            + all.late()
                            + all.rejected()
                            + all.failed()
                            + all.unanswered()
                            + all.cancelled(),
                    all.requested());
        }
    }

    @Test
    public void theSameSeedGivesTheSameReport() throws Exception {
        Scenario scenario = ScenarioLibrary.find("drain-in-burst");
        String once = JsonWriter.text(List.of(play(scenario, 5, 12, Strategies.POLICY)));
        assertEquals(JsonWriter.text(List.of(play(scenario, 5, 12, Strategies.POLICY))), once);
        assertNotEquals(JsonWriter.text(List.of(play(scenario, 6, 12, Strategies.POLICY))), once);
    }

    /**
     * What is asked depends on the seed alone: else variants could not be compared pair by pair.
     */
    @Test
    public void allVariantsAreAskedTheSame() throws Exception {
        Scenario scenario = ScenarioLibrary.find("failures-overlap");
        Report one = play(scenario, 5, 10, Strategies.POLICY);
        Report other = play(scenario, 5, 10, "round-robin");
        assertEquals(one.series().requested(), other.series().requested());
        for (int i = 0; i < one.requestClasses().size(); i++) {
            assertEquals(
                    one.requestClasses().get(i).requested(),
                    other.requestClasses().get(i).requested());
        }
        assertNotEquals(one.total().p99(), other.total().p99());
    }

    @Test
    public void everyAskEndsInOneWay() throws Exception {
        Scenario scenario =
                SmallScenario.scenario(
                        "[clients]\nimpatient = 0.3\nretries = 2\n"
                                + "[[faults]]\nkind = \"dispatcher-kill\"\nat = 1\nfor = 1\n"
                                + "[[faults]]\nkind = \"list-down\"\nat = 1.5\nfor = 2\n");
        Report report = play(scenario, 1, 5, Strategies.POLICY);
        Report.Row all = report.total();
        assertEquals(
                all.inTime()
                        + all.late()
                        + all.rejected()
                        + all.failed()
                        + all.unanswered()
                        + all.cancelled(),
                all.requested());
        assertTrue(
                all.requested() > 150 && all.requested() < 250,
                all.requested() + " asked at 40 a second for 5 s");
        assertTrue(all.cancelled() > 0, "nobody hung up");
        assertTrue(report.keepsRules(), TableWriter.text(report));
    }

    /** An expectation that cannot be met is said to fail, and the page and the table say so too. */
    @Test
    public void whatDoesNotHoldIsSaid() throws Exception {
        Report report =
                play(
                        SmallScenario.scenario(
                                "[expect.service]\nleast = 1.01\n[expect.p99]\nmost = 10\n"),
                        1,
                        5,
                        Strategies.POLICY);
        assertTrue(!report.holds());
        assertEquals(report.verdicts().stream().filter(Report.Verdict::holds).count(), 1);
        assertTrue(
                TableWriter.text(report).contains("service at least 1.01"),
                TableWriter.text(report));
        String page = HtmlWriter.text(List.of(report), "a < b");
        assertTrue(
                page.contains("does not hold")
                        && page.contains("a &lt; b")
                        && page.contains("uPlot"));
        assertTrue(
                !page.contains("src=\"http") && !page.contains("href=\"http"),
                "it needs something beside it");
    }

    @Test
    public void aStoppedRunIsMarked() throws Exception {
        Scenario scenario = ScenarioLibrary.find("calm");
        int[] looks = {0};
        Report report =
                SimulationRun.run(
                        scenario,
                        1,
                        60,
                        Map.of(),
                        "x",
                        w -> Strategies.factory("random", w),
                        () -> ++looks[0] > 2);
        assertTrue(report.partial() && !report.holds());
        assertTrue(TableWriter.text(report).contains("PARTIAL"));
    }

    @DataProvider
    public Object[][] lags() {
        double much = Report.MAX_P99_LAG_SECONDS * 1.01;
        double once = Report.MAX_SINGLE_LAG_SECONDS * 1.01;
        return new Object[][] {
            // lateness, what breaks a rule, the judgement
            {new Report.MachineLag(much, 1, 0, 0), null, Report.Judgement.NOT_JUDGED},
            {new Report.MachineLag(0, 0, much, 1), null, Report.Judgement.NOT_JUDGED},
            {new Report.MachineLag(0, once, 0, once), null, Report.Judgement.HOLDS},
            {
                new Report.MachineLag(0, 0, 0, 0),
                Rule.ONE_FINAL_ANSWER,
                Report.Judgement.DOES_NOT_HOLD
            },
            {
                new Report.MachineLag(0, once, 0, 0),
                Rule.ONE_FINAL_ANSWER,
                Report.Judgement.NOT_JUDGED
            },
            {
                new Report.MachineLag(0, 0, 0, once),
                Rule.NO_SLOW_START_OVERLOAD,
                Report.Judgement.NOT_JUDGED
            },
            {
                new Report.MachineLag(0, once, 0, once),
                Rule.AT_MOST_ONE_EFFECT,
                Report.Judgement.DOES_NOT_HOLD
            },
        };
    }

    /**
     * What a machine that lags measures is no service of the dispatcher's, but an effect twice is
     * one.
     */
    @Test(dataProvider = "lags")
    public void aRunOnASlowMachineIsNotJudged(
            Report.MachineLag lag, Rule broken, Report.Judgement judged) throws Exception {
        Report r = play(SmallScenario.scenario(""), 1, 5, Strategies.POLICY);
        assertTrue(r.holds(), TableWriter.text(r));
        Map<Rule, Integer> counts = new LinkedHashMap<>(r.breachCounts());
        if (broken != null) {
            counts.put(broken, 1);
        }
        Report late =
                new Report(
                        r.run(),
                        r.total(),
                        r.requestClasses(),
                        r.tenants(),
                        r.figures(),
                        r.verdicts(),
                        counts,
                        r.breaches(),
                        r.series(),
                        r.distribution(),
                        r.faultPeriods(),
                        lag,
                        r.notes(),
                        false);
        assertEquals(late.judgement(), judged, TableWriter.text(late));
        assertEquals(
                TableWriter.text(late).contains("NOT JUDGED"),
                judged == Report.Judgement.NOT_JUDGED);
    }
}
