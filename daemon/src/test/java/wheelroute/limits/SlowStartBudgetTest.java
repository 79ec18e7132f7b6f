package wheelroute.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What all dispatchers together send a cold worker, each asking for as much as it gets. */
public class SlowStartBudgetTest {
    private static final double MULTIPLE = 3;
    private static final double WINDOW = 2;
    private static final double USE = 0.65;
    private static final double START = 100;
    private static final int STEPS = 1500;
    private static final double STEP = 0.02;

    private static SlowStartBudget.Shares alone(int position, int dispatchers) {
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

    /**
     * The most that came within any window, in parts of what the settings allow; and all that came.
     */
    private static double[] sent(
            int dispatchers,
            int processes,
            boolean placed,
            double[] capacity,
            double[] mean,
            double draw,
            long seed) {
        List<SlowStartBudget> all = new ArrayList<>();
        for (int i = 0; i < dispatchers * processes; i++) {
            SlowStartBudget budget =
                    new SlowStartBudget(
                            new SlowStartBudget.Limits(
                                    dispatchers, placed ? i / processes : -1, MULTIPLE, WINDOW));
            budget.onWorkerStarted(START, draw);
            all.add(budget);
        }
        SplittableRandom random = new SplittableRandom(seed);
        ArrayDeque<double[]> window = new ArrayDeque<>();
        double sum = 0;
        double most = 0;
        double total = 0;
        for (int step = 0; step < STEPS; step++) {
            double now = START + step * STEP;
            for (int i = 0; i < all.size(); i++) {
                // Sizes are heavy-tailed, as they are in service.
                double work = -Math.log(1 - random.nextDouble());
                int kind = i / processes % capacity.length;
                if (all.get(i)
                        .allows(
                                now,
                                work,
                                capacity[kind] / processes,
                                mean[kind],
                                alone(i / processes, dispatchers))) {
                    all.get(i).recordSent(now, work);
                    window.addLast(new double[] {now, work});
                    sum += work;
                    total += work;
                }
            }
            while (!window.isEmpty() && window.peekFirst()[0] <= now - WINDOW) {
                sum -= window.pollFirst()[1];
            }
            most = Math.max(most, sum);
        }
        return new double[] {most, total};
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            // dispatchers, processes of each, whether they know their places, the worker's work in
            // a window
            {1, 1, false, 2.0}, {3, 1, true, 2.0}, {3, 2, true, 8.0}, {10, 1, false, 30.0},
            {10, 1, true, 3.0}, {20, 1, true, 0.8}, {20, 1, true, 3.0}, {30, 1, true, 3.0},
            {30, 2, true, 6.0}, {30, 1, true, 20.0}, {30, 1, true, 60.0}, {100, 1, true, 10.0},
        };
    }

    /** The sum keeps to the budget in every window; and not so that the worker is hardly used. */
    @Test(dataProvider = "fleets")
    public void allTogetherKeepToTheBudget(
            int dispatchers, int processes, boolean placed, double capacity) {
        double[] sent =
                sent(
                        dispatchers,
                        processes,
                        placed,
                        new double[] {capacity},
                        new double[] {1},
                        0.4,
                        dispatchers);
        assertTrue(
                sent[0] <= USE * MULTIPLE * capacity * 1.000001,
                sent[0] + " of " + MULTIPLE * capacity);
        double windows = STEPS * STEP / WINDOW;
        assertTrue(
                sent[1] > 0.25 * USE * MULTIPLE * capacity * windows,
                "only " + sent[1] / windows + " a window");
    }

    /**
     * Where dispatchers estimate differently the mean over the starts keeps to it, and none goes
     * past N.
     */
    @Test
    public void estimatesThatDifferKeepToItInTheMean() {
        double sum = 0;
        double most = 0;
        int starts = 60;
        for (int i = 0; i < starts; i++) {
            double[] sent =
                    sent(
                            30,
                            1,
                            true,
                            new double[] {8, 2, 4},
                            new double[] {1, 0.5, 2},
                            i / 60.0,
                            i);
            sum += sent[1] / (STEPS * STEP / WINDOW);
            most = Math.max(most, sent[0]);
        }
        assertTrue(sum / starts <= USE * MULTIPLE * (8 + 2 + 4) / 3.0, "a mean of " + sum / starts);
        double n = MULTIPLE * 8;
        assertTrue(most <= n + 2 * Math.sqrt(n) + 2, "at most " + most);
    }

    @DataProvider
    public Object[][] before() {
        return new Object[][] {
            // when it sent 4 of the 4 that it may, against the start; whether that counts once it
            // is told
            {-0.5, false}, {0.5, true},
        };
    }

    /**
     * Guards against a dispatcher that sends its part on top of what it sent before it was told.
     */
    @Test(dataProvider = "before")
    public void whatWentBeforeTheStartWasToldCounts(double at, boolean counts) {
        SlowStartBudget budget =
                new SlowStartBudget(new SlowStartBudget.Limits(1, 0, MULTIPLE, WINDOW));
        budget.recordSent(START + at, 4);
        budget.onWorkerStarted(START, 0);
        assertEquals(budget.allows(START + 1, 1, 4 / USE / MULTIPLE, 1, alone(0, 1)), !counts);
        assertTrue(budget.allows(START + 1 + WINDOW, 1, 4 / USE / MULTIPLE, 1, alone(0, 1)));
    }
}
