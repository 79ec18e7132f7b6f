package wheelroute.decision.slowstart;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Endpoint.State;
import wheelroute.decision.Outcome;
import wheelroute.decision.PolicyHarness;
import wheelroute.decision.RequestHandle;

/** Tests rule 4, which limits the work sent to a worker in slow start. */
public class SlowStartTest {
    @DataProvider
    public Object[][] slowStartBudgets() {
        return new Object[][] {
            // dispatchers, processes of this one, seconds since the worker's start, work of each
            // request, maximum work in a window (4 * 3 s * ramp fraction, for a capacity of 1)
            {1, 1, 0.1, 0.3, 12.0 * 0.26},
            {1, 2, 0.1, 0.3, 12.0 * 0.26 / 2},
            {4, 1, 0.1, 0.3, 12.0 * 0.26 / 4},
            {4, 1, 0.1, 5.0, 0.0},
            {1, 1, 10.0, 0.3, 12.0 * 0.64},
        };
    }

    @Test(dataProvider = "slowStartBudgets")
    public void sendsNoMoreThanOwnShareToWorkerInSlowStart(
            int dispatchers, int processes, double ageSeconds, double work, double max) {
        PolicyHarness.SettingsFixture fixture = new PolicyHarness.SettingsFixture();
        fixture.dispatchers = dispatchers;
        PolicyHarness harness = new PolicyHarness(fixture);
        harness.policy.setProcessCount(processes);
        harness.updateWorker(1, harness.now - ageSeconds, State.READY);
        double sent = 0;
        for (int i = 0; i < 100; i++) {
            RequestHandle handle = harness.accept(work);
            if (harness.lastWorker() == 1) {
                sent += work;
                // Work that the worker rejects must count against the budget too.
                harness.endAttempt(handle, 0, Outcome.REJECTED);
            }
            harness.advance(0.02);
        }
        assertTrue(sent <= max, "work sent: " + sent);
        assertTrue(max == 0 || sent > 0, "no work was sent to the worker");
    }

    @DataProvider
    public Object[][] modelWorkRates() {
        return new Object[][] {
            // number of runs of 0.3 s, one after the other, on two workers past their slow start;
            // minimum and maximum work that is sent, as multiples of the budget of one slot (ten
            // dispatchers with such traffic keep five slots of each worker busy)
            {2, 0, 1}, {40, 2, 5},
        };
    }

    /**
     * One dispatcher among many sees only one slot in use at a time, so its budget must follow the
     * work rate of the model.
     */
    @Test(dataProvider = "modelWorkRates")
    public void budgetFollowsWorkRateOfModel(int results, int min, int max) {
        PolicyHarness.SettingsFixture fixture = new PolicyHarness.SettingsFixture();
        fixture.dispatchers = 10;
        PolicyHarness harness = new PolicyHarness(fixture).listWorkers(2);
        for (int i = 0; i < results; i++) {
            harness.serve(0.3, 0.3);
        }
        harness.updateWorker(2, Double.NaN, State.REMOVED)
                .updateWorker(1, harness.now - 0.1, State.READY);
        double sent = 0;
        for (int i = 0; i < 100; i++) {
            harness.actions.clear();
            RequestHandle handle = harness.accept(0.02);
            if (harness.lastWorker() == 1) {
                sent += 0.02;
                // The request is cancelled, so the worker has no queue and is not backing off.
                handle.onClientGone();
                harness.endAttempt(handle, 0, Outcome.CANCELLED);
            }
            harness.advance(0.02);
        }
        double budgetOfOneSlot = 0.65 * 12 * 0.26 / 10;
        assertTrue(
                sent >= min * budgetOfOneSlot && sent <= max * budgetOfOneSlot * 1.1,
                "work sent: " + sent + ", budget of one slot: " + budgetOfOneSlot);
    }

    /** The work of one attempt and the age of the worker at which it was sent. */
    private record SentWork(double ageSeconds, double work) {}

    /**
     * Even shares of the budget would be too small for any request, so the dispatchers must take
     * turns.
     */
    @Test
    public void manyDispatchersTakeTurnsAndStayWithinBudgetTogether() {
        List<PolicyHarness> all = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            PolicyHarness.SettingsFixture fixture = new PolicyHarness.SettingsFixture();
            fixture.dispatchers = 14;
            fixture.position = i;
            all.add(
                    new PolicyHarness(fixture)
                            .updateWorker(1, PolicyHarness.START_SECONDS - 0.1, State.READY));
        }
        List<SentWork> sent = new ArrayList<>();
        for (double age = 0.1; age < 19; age += 0.1) {
            for (PolicyHarness harness : all) {
                harness.actions.clear();
                RequestHandle handle = harness.accept(0.5);
                if (harness.lastWorker() == 1) {
                    sent.add(new SentWork(age, 0.5));
                    harness.endAttempt(handle, 0, Outcome.REJECTED);
                }
                harness.advance(0.1);
            }
        }
        for (SentWork last : sent) {
            double windowStart = last.ageSeconds() - 3;
            double work =
                    sent.stream()
                            .filter(
                                    other ->
                                            other.ageSeconds() > windowStart
                                                    && other.ageSeconds() <= last.ageSeconds())
                            .mapToDouble(SentWork::work)
                            .sum();
            double rampFraction = 0.25 + 0.75 * Math.max(0, windowStart) / 20;
            assertTrue(
                    work <= 12 * rampFraction,
                    "work sent: " + work + " in the window that ends at age " + last.ageSeconds());
        }
        assertTrue(sent.size() > 10, "attempts at the worker: " + sent.size());
    }
}
