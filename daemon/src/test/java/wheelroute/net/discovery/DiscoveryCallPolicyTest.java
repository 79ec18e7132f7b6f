package wheelroute.net.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.net.discovery.DiscoveryCallPolicy.State;
import wheelroute.net.loop.ControlledEventLoop;
import wheelroute.net.loop.ManualClock;

public class DiscoveryCallPolicyTest {
    private static final double CONNECT_TIMEOUT_SECONDS = 0.5;
    private static final int LARGE_FLEET = 100;

    private static final CallFailure HELD_WITHOUT_RESPONSE =
            new CallFailure(CallFailure.Kind.NO_RESPONSE, true, true, false, true, 4);
    private static final CallFailure WITHOUT_RESPONSE =
            new CallFailure(CallFailure.Kind.NO_RESPONSE, true, false, false, false, 2.3);
    private static final CallFailure REJECTED_PROMPTLY =
            new CallFailure(CallFailure.Kind.CALL_FAILED, true, false, true, false, 0.1);
    private static final CallFailure CONNECT_REFUSED =
            new CallFailure(CallFailure.Kind.CALL_FAILED, false, false, false, false, 0);

    private ManualClock clock;
    private ControlledEventLoop loop;

    @BeforeMethod
    public void createLoop() {
        clock = new ManualClock();
        clock.stop();
        loop = new ControlledEventLoop(clock, CONNECT_TIMEOUT_SECONDS);
    }

    private DiscoveryCallPolicy policy(int dispatchers, boolean listIsPushed) {
        return new DiscoveryCallPolicy(
                loop, new EndpointWatch.WatchOptions(1, dispatchers, listIsPushed));
    }

    private static double delayAfter(DiscoveryCallPolicy policy, CallFailure failure) {
        policy.onFailure(failure);
        return policy.delayAfterFailure(failure);
    }

    @Test
    public void letsDiscoveryHoldCallsWhileSteady() {
        DiscoveryCallPolicy policy = policy(1, false);
        int holdMillis = policy.nextHoldMillis();
        assertEquals(policy.state(), State.STEADY);
        assertTrue(holdMillis >= 3000 && holdMillis < 3600, holdMillis + " ms");
    }

    @Test
    public void backsOffWithoutHoldAfterFailureUntilResponse() {
        DiscoveryCallPolicy policy = policy(1, false);
        double delay = delayAfter(policy, CONNECT_REFUSED);
        assertTrue(delay >= 0.5 && delay < 1, delay + " s");
        assertEquals(policy.state(), State.RECOVERING);
        assertEquals(policy.nextHoldMillis(), 0);
        policy.onResponse();
        assertEquals(policy.state(), State.STEADY);
    }

    @Test
    public void catchesUpAfterHeldCallWithoutResponse() {
        DiscoveryCallPolicy policy = policy(1, false);
        assertEquals(delayAfter(policy, HELD_WITHOUT_RESPONSE), 0.0);
        assertEquals(policy.state(), State.CATCHING_UP);
        assertEquals(policy.nextHoldMillis(), 0);
        assertEquals(policy.callTimeout(), 1.2);
        assertEquals(delayAfter(policy, CONNECT_REFUSED), 0.2);
        clock.advance(2);
        assertEquals(policy.state(), State.RECOVERING);
    }

    @Test
    public void keepsCallTimeoutOfLargeFleetWhileCatchingUp() {
        DiscoveryCallPolicy policy = policy(LARGE_FLEET, false);
        policy.onNewAddress();
        assertEquals(policy.state(), State.CATCHING_UP);
        assertEquals(policy.callTimeout(), Backoff.CALL_TIMEOUT_SECONDS);
    }

    @Test
    public void endsCatchingUpWithList() {
        DiscoveryCallPolicy policy = policy(1, false);
        policy.onNewAddress();
        policy.onList();
        assertEquals(policy.state(), State.STEADY);
    }

    @Test
    public void backsOffWhenOverloadedEvenWhileCatchingUp() {
        DiscoveryCallPolicy policy = policy(LARGE_FLEET, false);
        policy.onNewAddress();
        delayAfter(policy, WITHOUT_RESPONSE);
        double delay = delayAfter(policy, REJECTED_PROMPTLY);
        assertEquals(policy.state(), State.OVERLOADED);
        assertTrue(delay > 2, delay + " s");
    }

    @DataProvider
    public Object[][] lostConnections() {
        return new Object[][] {
            // Answered before, minimum and maximum delay in seconds.
            {true, 0.0, 0.0}, {false, 0.5, 1.0},
        };
    }

    /** A watch that has had a response since its last failure calls again at once. */
    @Test(dataProvider = "lostConnections")
    public void delaysCallAfterLostConnection(boolean answeredBefore, double min, double max) {
        CallFailure lost =
                new CallFailure(
                        CallFailure.Kind.CONNECTION_LOST, true, true, false, answeredBefore, 0);
        double delay = delayAfter(policy(1, false), lost);
        assertTrue(delay >= min && delay <= max, delay + " s");
    }

    @Test
    public void retriesSoonIfListIsPushed() {
        DiscoveryCallPolicy policy = policy(LARGE_FLEET, true);
        assertEquals(policy.delayAtStart(), 0.0);
        for (int i = 0; i < 10; i++) {
            assertEquals(delayAfter(policy, CONNECT_REFUSED), 0.2);
        }
    }

    @DataProvider
    public Object[][] responses() {
        return new Object[][] {
            // Whether the response has changes, duration of the call and delay, both in seconds.
            {false, 0.1, 0.1},
            {false, 1.5, 0.0},
            {true, 0.1, 0.0},
        };
    }

    @Test(dataProvider = "responses")
    public void delaysCallAfterEarlyResponseWithoutChanges(
            boolean hasChanges, double durationSeconds, double delay) {
        assertEquals(policy(1, false).delayAfterResponse(hasChanges, durationSeconds), delay);
    }
}
