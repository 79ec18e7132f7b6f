package wheelroute.kit.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests queue, slots, load reports and process of a worker without faults. */
public class WorkerModelTest {
    @Test
    public void runsAttemptsInOrderOnTwoSlots() {
        WorkerHarness harness = new WorkerHarness();
        harness.send("a", 0.4);
        harness.send("b", 0.2);
        harness.send("c", 0.1);
        harness.assertResponses(
                "a started 0.00",
                "b started 0.00",
                "b SUCCEEDED 0.20",
                "c started 0.20",
                "c SUCCEEDED 0.30",
                "a SUCCEEDED 0.40");
    }

    @Test
    public void rejectsAttemptWhenQueueIsFull() {
        WorkerHarness harness = new WorkerHarness();
        for (String name : List.of("a", "b", "c", "d", "e", "f")) {
            harness.send(name, 9);
        }
        harness.assertResponses("a started 0.00", "b started 0.00", "f REJECTED 0.00");
    }

    @Test
    public void keepsAttemptQueuedUntilAllItsSlotsAreFree() {
        WorkerHarness harness = new WorkerHarness();
        harness.send("a", 0.1);
        harness.send("b", 0.1, 2);
        harness.assertResponses(
                "a started 0.00", "a SUCCEEDED 0.10", "b started 0.10", "b SUCCEEDED 0.20");
    }

    @Test
    public void dropsQueuedAttemptWhenItIsCancelled() {
        WorkerHarness harness = new WorkerHarness();
        harness.send("a", 0.2);
        harness.send("b", 0.2);
        WorkerAttempt queued = harness.send("c", 9);
        harness.send("d", 0.1);
        harness.worker.cancel(queued);
        harness.assertResponses(
                "a started 0.00",
                "b started 0.00",
                "a SUCCEEDED 0.20",
                "d started 0.20",
                "b SUCCEEDED 0.20",
                "d SUCCEEDED 0.30");
    }

    @Test
    public void reportsProgressAtInterval() {
        WorkerHarness harness = new WorkerHarness("[terms]\nprogress_every = 0.1\n");
        harness.send("a", 0.25);
        harness.assertResponses(
                "a started 0.00", "a at 0.40 0.10", "a at 0.80 0.20", "a SUCCEEDED 0.25");
    }

    @Test
    public void reportsFreeSlotsWithLag() {
        WorkerHarness harness = new WorkerHarness("[terms]\nreport_lag = 0.15\n");
        harness.send("a", 0.1);
        harness.advance(0.1);
        harness.send("b", 0.1);
        harness.advance(0.15);
        harness.send("c", 0.1);
        harness.assertResponses(
                "a started 0.00",
                "a SUCCEEDED free 2 0.10",
                "b started 0.00",
                "b SUCCEEDED free 1 0.10",
                "c started 0.00",
                "c SUCCEEDED free 2 0.10");
    }

    @Test
    public void losesAllConnectionsInCrash() {
        WorkerHarness harness = new WorkerHarness();
        harness.send("a", 0.1);
        harness.send("b", 0.1);
        harness.send("c", 0.1);
        harness.worker.crash();
        assertFalse(harness.worker.isUp());
        harness.advance(1);
        harness.worker.start();
        harness.assertResponses(
                "a started 0.00",
                "b started 0.00",
                "a CONNECTION_LOST 0.00",
                "b CONNECTION_LOST 0.00",
                "c CONNECTION_LOST 0.00");
    }

    /**
     * A draining worker runs until every dispatcher is notified and all its attempts have ended.
     */
    @Test
    public void endsAfterDrainWhenItIsEmpty() {
        WorkerHarness harness = new WorkerHarness();
        WorkerModel worker = harness.worker;
        harness.send("a", 2.8);
        worker.drain();
        harness.advance(2.5);
        assertTrue(worker.isUp(), "the worker ended while an attempt was running");
        harness.advance(0.5);
        assertFalse(worker.isUp(), "the worker did not end although it had no attempts");
        assertEquals(harness.responses().get(1), "a SUCCEEDED 2.80");
        worker.start();
        assertTrue(worker.isUp(), "the worker did not restart");
        assertTrue(
                worker.rampFraction(harness.time.now()) < 1,
                "the worker restarted without slow start");
    }
}
