package wheelroute.decision.slowstart;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the work that all dispatchers together send to a worker in slow start if each sends as much
 * as it may.
 */
public class SlowStartBudgetTest {
    private static final double MULTIPLE = 3;
    private static final double WINDOW_SECONDS = 2;
    private static final double BUDGET_FRACTION = 0.65;
    private static final double START_SECONDS = 100;
    private static final int STEP_COUNT = 1500;
    private static final double STEP_SECONDS = 0.02;

    private static SlowStartBudget.Shares ownShare(int position, int dispatchers) {
        return new SlowStartBudget.Shares() {
            @Override
            public double ofDispatcher(int dispatcher) {
                return dispatcher == position ? 1 : 0;
            }

            @Override
            public double total() {
                return 1.0 / dispatchers;
            }
        };
    }

    /** The work that arrived at the worker, as the maximum within any window and in total. */
    private record ArrivedWork(double maxPerWindow, double total) {
        double meanPerWindow() {
            return total / (STEP_COUNT * STEP_SECONDS / WINDOW_SECONDS);
        }
    }

    private static List<SlowStartBudget> startedBudgets(
            int dispatchers, int processes, boolean knowsPosition, double draw) {
        List<SlowStartBudget> budgets = new ArrayList<>();
        for (int i = 0; i < dispatchers * processes; i++) {
            SlowStartBudget budget =
                    new SlowStartBudget(
                            new SlowStartBudget.Limits(
                                    dispatchers,
                                    knowsPosition ? i / processes : -1,
                                    MULTIPLE,
                                    WINDOW_SECONDS));
            budget.onWorkerStarted(START_SECONDS, draw);
            budgets.add(budget);
        }
        return budgets;
    }

    private static ArrivedWork simulate(
            int dispatchers,
            int processes,
            boolean knowsPosition,
            double[] capacity,
            double[] mean,
            double draw,
            long seed) {
        List<SlowStartBudget> budgets = startedBudgets(dispatchers, processes, knowsPosition, draw);
        SplittableRandom random = new SplittableRandom(seed);
        ArrayDeque<double[]> window = new ArrayDeque<>();
        double sum = 0;
        double max = 0;
        double total = 0;
        for (int step = 0; step < STEP_COUNT; step++) {
            double now = START_SECONDS + step * STEP_SECONDS;
            for (int i = 0; i < budgets.size(); i++) {
                // Job sizes are heavy-tailed, as in production.
                double work = -Math.log(1 - random.nextDouble());
                int estimate = i / processes % capacity.length;
                if (budgets.get(i)
                        .allows(
                                now,
                                work,
                                capacity[estimate] / processes,
                                mean[estimate],
                                ownShare(i / processes, dispatchers))) {
                    budgets.get(i).recordSent(now, work);
                    window.addLast(new double[] {now, work});
                    sum += work;
                    total += work;
                }
            }
            while (!window.isEmpty() && window.peekFirst()[0] <= now - WINDOW_SECONDS) {
                sum -= window.pollFirst()[1];
            }
            max = Math.max(max, sum);
        }
        return new ArrivedWork(max, total);
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            // dispatchers, processes of each, whether the dispatchers know their positions,
            // capacity of the worker in a window
            {1, 1, false, 2.0}, {3, 1, true, 2.0}, {3, 2, true, 8.0}, {10, 1, false, 30.0},
            {10, 1, true, 3.0}, {20, 1, true, 0.8}, {20, 1, true, 3.0}, {30, 1, true, 3.0},
            {30, 2, true, 6.0}, {30, 1, true, 20.0}, {30, 1, true, 60.0}, {100, 1, true, 10.0},
        };
    }

    /**
     * The work of all dispatchers must stay within the budget in every window but still make use of
     * the worker.
     */
    @Test(dataProvider = "fleets")
    public void staysWithinTheBudgetInEveryWindow(
            int dispatchers, int processes, boolean knowsPosition, double capacity) {
        ArrivedWork arrived =
                simulate(
                        dispatchers,
                        processes,
                        knowsPosition,
                        new double[] {capacity},
                        new double[] {1},
                        0.4,
                        dispatchers);
        assertTrue(
                arrived.maxPerWindow() <= BUDGET_FRACTION * MULTIPLE * capacity * 1.000001,
                "maximum work in a window: "
                        + arrived.maxPerWindow()
                        + " of "
                        + MULTIPLE * capacity);
        double windows = STEP_COUNT * STEP_SECONDS / WINDOW_SECONDS;
        assertTrue(
                arrived.total() > 0.25 * BUDGET_FRACTION * MULTIPLE * capacity * windows,
                "mean work in a window: " + arrived.total() / windows);
    }

    /**
     * If the estimates of the dispatchers differ, the mean over many starts must stay within the
     * budget and no start may cause a collapse.
     */
    @Test
    public void staysWithinTheBudgetOnAverageIfEstimatesDiffer() {
        double sum = 0;
        double max = 0;
        int starts = 60;
        for (int i = 0; i < starts; i++) {
            ArrivedWork arrived =
                    simulate(
                            30,
                            1,
                            true,
                            new double[] {8, 2, 4},
                            new double[] {1, 0.5, 2},
                            i / 60.0,
                            i);
            sum += arrived.meanPerWindow();
            max = Math.max(max, arrived.maxPerWindow());
        }
        assertTrue(
                sum / starts <= BUDGET_FRACTION * MULTIPLE * (8 + 2 + 4) / 3.0,
                "mean work in a window: " + sum / starts);
        double n = MULTIPLE * 8;
        assertTrue(max <= n + 2 * Math.sqrt(n) + 2, "maximum work in a window: " + max);
    }

    @DataProvider
    public Object[][] sendTimes() {
        return new Object[][] {
            // time at which the whole budget was sent, relative to the start; whether that work
            // counts once the start is known
            {-0.5, false}, {0.5, true},
        };
    }

    /**
     * Work sent between the start of the worker and the notification of it must count against the
     * share.
     */
    @Test(dataProvider = "sendTimes")
    public void countsWorkSentBeforeNotification(double sentAfterStart, boolean counts) {
        SlowStartBudget budget =
                new SlowStartBudget(new SlowStartBudget.Limits(1, 0, MULTIPLE, WINDOW_SECONDS));
        budget.recordSent(START_SECONDS + sentAfterStart, 4);
        budget.onWorkerStarted(START_SECONDS, 0);
        assertEquals(
                budget.allows(
                        START_SECONDS + 1, 1, 4 / BUDGET_FRACTION / MULTIPLE, 1, ownShare(0, 1)),
                !counts);
        assertTrue(
                budget.allows(
                        START_SECONDS + 1 + WINDOW_SECONDS,
                        1,
                        4 / BUDGET_FRACTION / MULTIPLE,
                        1,
                        ownShare(0, 1)));
    }
}
