package wheelroute.decision.endpoints;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Endpoint.State;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;
import wheelroute.decision.Outcome;
import wheelroute.decision.PolicyHarness;
import wheelroute.decision.RequestHandle;

/** Tests rule 3 for changes of the endpoint list, after which only some workers may be sent to. */
public class EndpointUpdatesTest {
    @DataProvider
    public Object[][] statesWithoutRequests() {
        return new Object[][] {{State.DRAINING}, {State.REMOVED}};
    }

    @Test(dataProvider = "statesWithoutRequests")
    public void sendsNothingToDrainingOrRemovedWorker(State state) {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL)
                        .listWorkers(2)
                        .updateWorker(1, Double.NaN, state);
        for (int i = 0; i < 20; i++) {
            harness.accept(0.01);
            assertEquals(harness.lastWorker(), 2);
        }
    }

    @Test
    public void removesWorkersThatAreMissingFromCompleteList() {
        PolicyHarness harness =
                PolicyHarness.of(Idempotency.IDEMPOTENT, IdempotencyScope.CELL)
                        .listWorkers(4)
                        .listWorkers(1);
        harness.accept(0.1);
        assertEquals(harness.lastWorker(), 1);
        harness.listWorkers(0).accept(0.1);
        assertTrue(harness.lastAction().startsWith("reject"));
    }

    @Test
    public void watchesEndpointsOnlyIfSettingsSaySo() {
        PolicyHarness.SettingsFixture fixture = new PolicyHarness.SettingsFixture();
        assertEquals(new PolicyHarness(fixture).countActions("watch"), 0);
        fixture.watchesEndpoints = true;
        assertEquals(new PolicyHarness(fixture).countActions("watch"), 1);
    }

    @DataProvider
    public Object[][] removals() {
        return new Object[][] {
            // whether removals are advisory, states listed for worker 1 in turn (none for a
            // complete list without that worker), whether worker 1 may be sent to
            {false, List.of(State.REMOVED), false},
            {true, List.of(State.REMOVED), true},
            {true, List.of(State.DRAINING), false},
            {true, List.of(State.DRAINING, State.REMOVED), false},
            {true, List.of(State.DRAINING, State.READY, State.REMOVED), true},
            {false, List.of(), false},
            {true, List.of(), true},
        };
    }

    @Test(dataProvider = "removals")
    public void sendsToRemovedWorkerUntilFirstFailureWhereRemovalIsAdvisory(
            boolean advisory, List<State> states, boolean isSentTo) {
        PolicyHarness.SettingsFixture fixture = new PolicyHarness.SettingsFixture();
        fixture.removalIsAdvisory = advisory;
        PolicyHarness harness = new PolicyHarness(fixture).listWorkers(1);
        if (states.isEmpty()) {
            harness.policy.onEndpoints(List.of(), true);
        }
        states.forEach(state -> harness.updateWorker(1, Double.NaN, state));
        RequestHandle handle = harness.advance(1).accept(0.1);
        assertEquals(harness.countActions("attempt"), isSentTo ? 1 : 0, harness.actions.toString());
        if (isSentTo) {
            harness.endAttempt(handle, 0, Outcome.CONNECT_FAILED);
            harness.advance(5).accept(0.1);
            assertEquals(harness.countActions("attempt"), 1, harness.actions.toString());
            harness.updateWorker(1, Double.NaN, State.READY).advance(5).accept(0.1);
            assertEquals(harness.countActions("attempt"), 2, harness.actions.toString());
        }
    }
}
