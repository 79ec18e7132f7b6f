package wheelroute.kit.faults;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.kit.scenario.FaultKind;
import wheelroute.kit.scenario.FaultMode;
import wheelroute.kit.scenario.LinkKind;
import wheelroute.kit.scenario.Scenario;

/** Schedules made smaller, with players whose verdict is known. */
public class ScheduleMinimizerTest {
    private static List<Scenario.Fault> faults(int count) {
        List<Scenario.Fault> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(
                    new Scenario.Fault(
                            FaultKind.CRASH,
                            i,
                            3.2,
                            "",
                            0.6,
                            1,
                            i,
                            1,
                            LinkKind.WORKERS,
                            "",
                            "",
                            0,
                            FaultMode.USUAL,
                            1));
        }
        return all;
    }

    private static List<Integer> picks(List<Scenario.Fault> faults) {
        return faults.stream().map(Scenario.Fault::pick).toList();
    }

    @DataProvider
    public Object[][] needed() {
        return new Object[][] {
            {8, List.of(3)},
            {8, List.of(0, 7)},
            {8, List.of(2, 3, 6)},
            {1, List.of(0)},
            {9, List.of(0, 1, 2, 3, 4, 5, 6, 7, 8)},
        };
    }

    /** What is left is what it takes, and all of it as small as it may be. */
    @Test(dataProvider = "needed")
    public void onlyWhatItTakesIsLeft(int count, List<Integer> needed) throws Exception {
        ScheduleMinimizer.Result result =
                ScheduleMinimizer.of(
                        faults(count), 10_000, some -> picks(some).containsAll(needed));
        assertEquals(picks(result.faults()), needed);
        assertTrue(result.complete());
        result.faults()
                .forEach(
                        fault -> {
                            assertEquals(fault.durationSeconds(), 0.2);
                            assertEquals(fault.targetFraction(), 0.05);
                            assertEquals(fault.startSpreadSeconds(), 0.0);
                        });
    }

    @Test
    public void whatMustBeLongStaysLong() throws Exception {
        ScheduleMinimizer.Result result =
                ScheduleMinimizer.of(
                        faults(4),
                        10_000,
                        some ->
                                some.stream()
                                        .anyMatch(f -> f.pick() == 2 && f.durationSeconds() > 1));
        assertEquals(picks(result.faults()), List.of(2));
        assertEquals(result.faults().get(0).durationSeconds(), 1.6);
    }

    /** Plays cost time: it stops in between, with a schedule that is known to fail. */
    @Test
    public void itStopsAtItsBound() throws Exception {
        int[] plays = {0};
        ScheduleMinimizer.Result result =
                ScheduleMinimizer.of(
                        faults(32),
                        7,
                        some -> {
                            plays[0]++;
                            return picks(some).containsAll(List.of(5, 20));
                        });
        assertEquals(plays[0], 7);
        assertFalse(result.complete());
        assertTrue(picks(result.faults()).containsAll(List.of(5, 20)));
        assertTrue(result.faults().size() < 32);
    }
}
