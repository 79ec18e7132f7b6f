package wheelroute.decision.endpoints;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;
import wheelroute.decision.Outcome;
import wheelroute.decision.PolicyHarness;
import wheelroute.decision.RequestHandle;

/** Rule 3: how long a list is used that an overloaded discovery does not confirm. */
public class EndpointLeaseTest {
    /** What is left when a change that was missed has to be acted on. */
    private static final double DURATION =
            EndpointLease.NOTIFICATION_LIMIT_SECONDS + 2 - EndpointLease.MARGIN_SECONDS;

    private static PolicyHarness confirmed(Idempotency idempotency) {
        PolicyHarness harness = PolicyHarness.of(idempotency, IdempotencyScope.ALL).listWorkers(4);
        harness.policy.onEndpointsConfirmed();
        return harness;
    }

    @DataProvider
    public Object[][] moments() {
        return new Object[][] {
            // overloaded, seconds since the list was confirmed, whether it may be used
            {true, DURATION - 0.01, true},
            {true, DURATION + 0.01, false},
            {false, DURATION + 0.01, true},
            {false, 600.0, true},
        };
    }

    @Test(dataProvider = "moments")
    public void onlyOverloadEndsTheUseOfTheList(boolean overloaded, double age, boolean used) {
        PolicyHarness harness = confirmed(Idempotency.IDEMPOTENT);
        harness.advance(age);
        if (overloaded) {
            harness.policy.onDiscoveryOverloaded();
        }
        harness.accept(0.1);
        assertEquals(harness.countActions("attempt"), used ? 1 : 0, harness.actions.toString());
        assertEquals(harness.lastAction().startsWith("reject"), !used);
        assertEquals(harness.policy.isEndpointLeaseExpired(), !used);
    }

    @Test
    public void anAnswerRenewsTheLease() {
        PolicyHarness harness = confirmed(Idempotency.IDEMPOTENT);
        harness.policy.onDiscoveryOverloaded();
        harness.advance(DURATION + 1);
        assertTrue(harness.policy.isEndpointLeaseExpired());
        harness.policy.onEndpointsConfirmed();
        assertFalse(harness.policy.isEndpointLeaseExpired());
        harness.accept(0.1);
        assertEquals(harness.countActions("attempt"), 1);
    }

    /** A retry is an attempt as well; what may have run elsewhere ends as its rule says. */
    @Test
    public void nothingIsRetriedOnAnExpiredList() {
        for (Idempotency idempotency : Idempotency.values()) {
            PolicyHarness harness = confirmed(idempotency);
            RequestHandle handle = harness.accept(0.1);
            harness.policy.onDiscoveryOverloaded();
            harness.advance(DURATION + 0.01).endAttempt(handle, 0, Outcome.CONNECTION_LOST);
            assertEquals(harness.countActions("attempt"), 1, harness.actions.toString());
            boolean mayHaveRun = idempotency == Idempotency.NON_IDEMPOTENT;
            assertTrue(harness.lastAction().startsWith(mayHaveRun ? "fail" : "reject"));
            assertTrue(handle.isComplete());
        }
    }
}
