package wheelroute.kit.audit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.kit.model.FinalResponse;
import wheelroute.kit.simulation.SimulatedTime;

/**
 * Doors that tell what is not so, each in one way: every one is found out, and honest ones are not.
 */
public class MetricsAuditorTest {
    private static final String OLD = "old";
    private static final String NEW = "new";

    /** A dispatcher that serves ten requests a second, with a door. */
    private static final class Play {
        final SimulatedTime time = new SimulatedTime();
        final MetricsAuditor ledger = new MetricsAuditor(time, false);
        final Map<String, Long> counted = new HashMap<>();

        Play() {
            ledger.onProcessStarted(0, OLD);
            counted.put("pending", 0L);
        }

        void pass(double seconds) {
            boolean[] there = {false};
            time.schedule(seconds, () -> there[0] = true);
            while (!there[0] && time.step()) {
                // Each step moves the simulated clock on.
            }
        }

        void serve(int count, FinalResponse response) {
            for (int i = 0; i < count; i++) {
                ledger.onSent(0);
                ledger.onAttempt(0);
                pass(0.05);
                ledger.onResponse(0, "x", response);
                counted.merge(MetricsAuditor.metricName(response, "x"), 1L, Long::sum);
                counted.merge("upstream_requests", 1L, Long::sum);
                pass(0.05);
            }
        }

        void tell(Object process, Map<String, Long> figures) {
            ledger.onMetrics(0, process, figures);
            pass(1);
        }
    }

    private static Object[] row(String name, boolean honest, Consumer<Play> does) {
        return new Object[] {name, honest, does};
    }

    @DataProvider
    public Object[][] doors() {
        return new Object[][] {
            row(
                    "tells what was seen",
                    true,
                    p -> {
                        p.serve(100, FinalResponse.SUCCEEDED);
                        p.serve(20, FinalResponse.REJECTED);
                        p.tell(OLD, p.counted);
                    }),
            row(
                    "counts a tenth too few",
                    false,
                    p -> {
                        p.serve(100, FinalResponse.SUCCEEDED);
                        p.counted.merge("completed.x", -10L, Long::sum);
                        p.tell(OLD, p.counted);
                    }),
            row(
                    "counts bounces as scraps",
                    false,
                    p -> {
                        p.serve(20, FinalResponse.REJECTED);
                        p.counted.put("failed.x", p.counted.remove("rejected.x"));
                        p.tell(OLD, p.counted);
                    }),
            row(
                    "leaves one figure out",
                    false,
                    p -> {
                        p.serve(20, FinalResponse.FAILED);
                        p.counted.remove("failed.x");
                        p.tell(OLD, p.counted);
                    }),
            row(
                    "counts launches twice",
                    false,
                    p -> {
                        p.serve(100, FinalResponse.SUCCEEDED);
                        p.counted.merge("upstream_requests", 100L, Long::sum);
                        p.tell(OLD, p.counted);
                    }),
            row(
                    "forgets what is pending",
                    false,
                    p -> {
                        for (int i = 0; i < 20; i++) {
                            p.ledger.onSent(0);
                        }
                        p.pass(2);
                        p.tell(OLD, p.counted);
                    }),
            row(
                    "is two seconds late",
                    false,
                    p -> {
                        p.serve(100, FinalResponse.SUCCEEDED);
                        Map<String, Long> old = new HashMap<>(p.counted);
                        p.serve(20, FinalResponse.SUCCEEDED);
                        p.tell(OLD, old);
                    }),
            row(
                    "counts what left in either way",
                    true,
                    p -> {
                        p.serve(50, FinalResponse.SUCCEEDED);
                        for (int i = 0; i < 20; i++) {
                            p.ledger.onSent(0);
                            p.ledger.onResponseLost(0);
                        }
                        p.pass(1);
                        p.counted.merge("completed.x", 12L, Long::sum);
                        p.tell(OLD, p.counted);
                    }),
            row(
                    "goes on from 0 as another process, beside the old one",
                    true,
                    p -> {
                        p.serve(100, FinalResponse.SUCCEEDED);
                        p.tell(OLD, p.counted);
                        p.ledger.onProcessStarted(0, NEW);
                        Map<String, Long> atOld = new HashMap<>(p.counted);
                        p.serve(20, FinalResponse.SUCCEEDED);
                        Map<String, Long> atNew =
                                new HashMap<>(
                                        Map.of(
                                                "completed.x",
                                                20L,
                                                "upstream_requests",
                                                20L,
                                                "pending",
                                                0L));
                        p.ledger.onMetrics(0, OLD, atOld);
                        p.tell(NEW, atNew);
                        p.ledger.onProcessEnded(0, OLD);
                        p.pass(3);
                        p.tell(NEW, atNew);
                    }),
            row(
                    "goes on from the old one's numbers",
                    false,
                    p -> {
                        p.serve(100, FinalResponse.SUCCEEDED);
                        p.tell(OLD, p.counted);
                        p.ledger.onProcessStarted(0, NEW);
                        p.ledger.onProcessEnded(0, OLD);
                        p.pass(3);
                        p.tell(NEW, p.counted);
                    }),
            row(
                    "begins anew after a kill",
                    true,
                    p -> {
                        p.serve(100, FinalResponse.SUCCEEDED);
                        p.tell(OLD, p.counted);
                        p.ledger.onProcessEnded(0, OLD);
                        p.ledger.onProcessStarted(0, NEW);
                        p.tell(
                                NEW,
                                Map.of("completed.x", 0L, "upstream_requests", 0L, "pending", 0L));
                    }),
        };
    }

    @Test(dataProvider = "doors")
    public void whatIsNotSoIsFoundOut(String name, boolean honest, Consumer<Play> does) {
        Play play = new Play();
        does.accept(play);
        assertTrue(play.ledger.checkCount() > 0, "nothing was compared");
        assertEquals(
                play.ledger.mismatches().isEmpty(), honest, name + ": " + play.ledger.mismatches());
    }

    /** What stands still, or has no way, owes no answer; else one is due. */
    @Test
    public void aDoorThatIsNotAnsweredCounts() {
        Play play = new Play();
        play.serve(10, FinalResponse.SUCCEEDED);
        play.tell(OLD, play.counted);
        play.ledger.onCallTimeout(0);
        assertEquals(play.ledger.lateCallFraction(), 0.5);
        play.ledger.suspendChecks(0, true);
        play.ledger.onCallTimeout(0);
        assertEquals(play.ledger.lateCallFraction(), 0.5);
    }
}
