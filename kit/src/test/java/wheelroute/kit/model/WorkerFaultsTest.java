package wheelroute.kit.model;

import org.testng.annotations.Test;

/** Tests the effect of each fault of a worker on queued, running and new attempts. */
public class WorkerFaultsTest {
    @Test
    public void stallDelaysRunningAndQueuedAttempts() {
        WorkerHarness harness = new WorkerHarness();
        harness.send("a", 0.25);
        harness.advance(0.1);
        harness.worker.setStalled(true);
        harness.send("b", 0.1);
        harness.advance(1);
        harness.worker.setStalled(false);
        harness.assertResponses(
                "a started 0.00", "b started 1.00", "b SUCCEEDED 1.10", "a SUCCEEDED 1.25");
    }

    @Test
    public void slowdownStretchesRemainingWork() {
        WorkerHarness harness = new WorkerHarness();
        harness.send("a", 0.2);
        harness.advance(0.1);
        harness.worker.changeSpeed(0.5);
        harness.assertResponses("a started 0.00", "a SUCCEEDED 0.30");
    }

    @Test
    public void errorBurstFailsAttemptAtOnce() {
        WorkerHarness harness = new WorkerHarness();
        harness.worker.changeFailureFraction(1);
        harness.send("a", 5);
        harness.assertResponses("a FAILED 0.00");
    }

    @Test
    public void unresponsiveWorkerResetsConnectionsWhenItRecovers() {
        WorkerHarness harness = new WorkerHarness();
        harness.worker.setUnresponsive(true);
        harness.send("a", 0.1);
        harness.advance(0.5);
        harness.worker.setUnresponsive(false);
        harness.send("b", 0.1);
        harness.assertResponses("a CONNECTION_LOST 0.50", "b started 0.00", "b SUCCEEDED 0.10");
    }

    @Test
    public void partitionLosesResponsesOfEarlierAndNewAttempts() {
        WorkerHarness harness = new WorkerHarness();
        harness.send("a", 0.1);
        harness.worker.setPartitioned(true);
        harness.send("b", 0.1);
        harness.advance(1);
        harness.worker.setPartitioned(false);
        harness.assertResponses(
                "a started 0.00", "b CONNECTION_LOST 1.00", "a CONNECTION_LOST 1.00");
    }

    @Test
    public void overlappingFaultsEndIndependently() {
        WorkerHarness harness = new WorkerHarness();
        harness.worker.setUnresponsive(true);
        harness.worker.setStalled(true);
        harness.send("a", 0.1);
        harness.advance(0.3);
        harness.worker.setUnresponsive(false);
        harness.advance(0.2);
        harness.worker.setStalled(false);
        harness.assertResponses("a started 0.50", "a SUCCEEDED 0.60");
    }

    @Test
    public void reportDelayMakesLoadReportsOlder() {
        WorkerHarness harness = new WorkerHarness("[terms]\nreport_lag = 0\n");
        harness.send("a", 0.5);
        harness.send("b", 0.1);
        harness.advance(0.1);
        harness.worker.changeReportDelay(5);
        harness.assertResponses(
                "a started 0.00",
                "b started 0.00",
                "b SUCCEEDED free 1 0.10",
                "a SUCCEEDED free 2 0.50");
    }
}
