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

/**
 * Tests rule 3 for an endpoint list that is not confirmed, which may be used only for a limited
 * time.
 */
public class EndpointLeaseTest {
    private static final double DURATION_SECONDS =
            EndpointLease.NOTIFICATION_LIMIT_SECONDS + 2 - EndpointLease.MARGIN_SECONDS;

    private static PolicyHarness confirmed(Idempotency idempotency) {
        PolicyHarness harness = PolicyHarness.of(idempotency, IdempotencyScope.ALL).listWorkers(4);
        harness.policy.onEndpointsConfirmed();
        return harness;
    }

    @DataProvider
    public Object[][] ages() {
        return new Object[][] {
            // whether discovery is overloaded, seconds since the list was confirmed, whether the
            // list is used
            {true, DURATION_SECONDS - 0.01, true},
            {true, DURATION_SECONDS + 0.01, false},
            {false, DURATION_SECONDS + 0.01, true},
            {false, 600.0, true},
        };
    }

    @Test(dataProvider = "ages")
    public void expiresOnlyWhileDiscoveryIsOverloaded(
            boolean overloaded, double ageSeconds, boolean used) {
        PolicyHarness harness = confirmed(Idempotency.IDEMPOTENT);
        harness.advance(ageSeconds);
        if (overloaded) {
            harness.policy.onDiscoveryOverloaded();
        }
        harness.accept(0.1);
        assertEquals(harness.countActions("attempt"), used ? 1 : 0, harness.actions.toString());
        assertEquals(harness.lastAction().startsWith("reject"), !used);
        assertEquals(harness.policy.isEndpointLeaseExpired(), !used);
    }

    @Test
    public void isRenewedByAnswerOfDiscovery() {
        PolicyHarness harness = confirmed(Idempotency.IDEMPOTENT);
        harness.policy.onDiscoveryOverloaded();
        harness.advance(DURATION_SECONDS + 1);
        assertTrue(harness.policy.isEndpointLeaseExpired());
        harness.policy.onEndpointsConfirmed();
        assertFalse(harness.policy.isEndpointLeaseExpired());
        harness.accept(0.1);
        assertEquals(harness.countActions("attempt"), 1);
    }

    @Test
    public void permitsNoRetryAfterExpiry() {
        for (Idempotency idempotency : Idempotency.values()) {
            PolicyHarness harness = confirmed(idempotency);
            RequestHandle handle = harness.accept(0.1);
            harness.policy.onDiscoveryOverloaded();
            harness.advance(DURATION_SECONDS + 0.01).endAttempt(handle, 0, Outcome.CONNECTION_LOST);
            assertEquals(harness.countActions("attempt"), 1, harness.actions.toString());
            boolean mayHaveRun = idempotency == Idempotency.NON_IDEMPOTENT;
            assertTrue(harness.lastAction().startsWith(mayHaveRun ? "fail" : "reject"));
            assertTrue(handle.isComplete());
        }
    }
}
