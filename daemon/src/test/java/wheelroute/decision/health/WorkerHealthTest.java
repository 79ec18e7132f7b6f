package wheelroute.decision.health;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the states of a worker's health. */
public class WorkerHealthTest {
    private static final double FIRST_DELAY_SECONDS = 0.5;

    private final WorkerHealth health = new WorkerHealth(FIRST_DELAY_SECONDS);

    private static WorkerHealth unresponsive() {
        WorkerHealth health = new WorkerHealth(FIRST_DELAY_SECONDS);
        health.markUnresponsive();
        return health;
    }

    @Test
    public void isHealthyAtFirst() {
        assertFalse(health.isEjected());
        assertFalse(health.isUnresponsive());
        assertFalse(health.isBackingOff(0));
    }

    @Test
    public void unresponsiveWorkerStaysEjectedAfterResponse() {
        WorkerHealth worker = unresponsive();
        assertTrue(worker.isUnresponsive());
        worker.recordResponse(10);
        assertFalse(worker.isUnresponsive());
        assertTrue(worker.isEjected());
    }

    @Test
    public void unresponsiveWorkerStaysUnresponsiveWhenEjectedAgain() {
        WorkerHealth worker = unresponsive();
        worker.eject();
        assertTrue(worker.isUnresponsive());
    }

    @Test
    public void restartEndsEjection() {
        WorkerHealth worker = unresponsive();
        worker.recordRestart();
        assertFalse(worker.isEjected());
        assertFalse(worker.isUnresponsive());
    }

    @Test
    public void nextTrialIsDueAfterPresentDelay() {
        WorkerHealth worker = unresponsive();
        worker.scheduleTrial(10, 2);
        assertFalse(worker.isTrialDue(10.4));
        assertTrue(worker.isTrialDue(10.5));
        assertEquals(worker.trialDelaySeconds(), 2.0);
        worker.reinstate(FIRST_DELAY_SECONDS);
        assertFalse(worker.isEjected());
        assertEquals(worker.trialDelaySeconds(), FIRST_DELAY_SECONDS);
    }
}
