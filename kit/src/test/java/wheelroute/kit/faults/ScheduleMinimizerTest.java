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

public class ScheduleMinimizerTest {
    private static final int UNLIMITED_RUNS = 10_000;

    /** Returns faults that differ only in their start time and pick. */
    private static List<Scenario.Fault> faults(int count) {
        List<Scenario.Fault> faults = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            faults.add(
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
                            FaultMode.UNCHANGED,
                            1));
        }
        return faults;
    }

    private static List<Integer> picks(List<Scenario.Fault> faults) {
        return faults.stream().map(Scenario.Fault::pick).toList();
    }

    @DataProvider
    public Object[][] neededFaults() {
        return new Object[][] {
            // number of faults, the faults without which the run does not fail
            {8, List.of(3)},
            {8, List.of(0, 7)},
            {8, List.of(2, 3, 6)},
            {1, List.of(0)},
            {9, List.of(0, 1, 2, 3, 4, 5, 6, 7, 8)},
        };
    }

    @Test(dataProvider = "neededFaults")
    public void keepsNeededFaultsOnlyAndShrinksThem(int count, List<Integer> needed)
            throws Exception {
        ScheduleMinimizer.Result result =
                ScheduleMinimizer.of(
                        faults(count),
                        UNLIMITED_RUNS,
                        candidate -> picks(candidate).containsAll(needed));
        assertEquals(picks(result.faults()), needed);
        assertTrue(result.complete());
        for (Scenario.Fault fault : result.faults()) {
            assertEquals(fault.durationSeconds(), 0.2);
            assertEquals(fault.targetFraction(), 0.05);
            assertEquals(fault.startSpreadSeconds(), 0.0);
        }
    }

    @Test
    public void keepsDurationThatFailureNeeds() throws Exception {
        ScheduleMinimizer.Result result =
                ScheduleMinimizer.of(
                        faults(4),
                        UNLIMITED_RUNS,
                        candidate ->
                                candidate.stream()
                                        .anyMatch(f -> f.pick() == 2 && f.durationSeconds() > 1));
        assertEquals(picks(result.faults()), List.of(2));
        assertEquals(result.faults().get(0).durationSeconds(), 1.6);
    }

    @Test
    public void stopsAtMaxRunsWithFailingSchedule() throws Exception {
        int[] runs = {0};
        ScheduleMinimizer.Result result =
                ScheduleMinimizer.of(
                        faults(32),
                        7,
                        candidate -> {
                            runs[0]++;
                            return picks(candidate).containsAll(List.of(5, 20));
                        });
        assertEquals(runs[0], 7);
        assertFalse(result.complete());
        assertTrue(picks(result.faults()).containsAll(List.of(5, 20)));
        assertTrue(result.faults().size() < 32);
    }
}
