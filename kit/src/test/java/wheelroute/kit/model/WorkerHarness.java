package wheelroute.kit.model;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import wheelroute.kit.SmallScenario;
import wheelroute.kit.audit.Auditor;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.simulation.SimulatedTime;

/** Runs one worker of two slots, and records its events with the time since their attempt. */
final class WorkerHarness {
    private static final double RUN_SECONDS = 5;

    /** The time for which responses are awaited at the end of a test. */
    private static final double SETTLE_SECONDS = 3;

    final SimulatedTime time = new SimulatedTime();
    final ClusterModel cluster;
    final WorkerModel worker;
    private final List<String> responses = new ArrayList<>();

    WorkerHarness() {
        this("");
    }

    /** Creates a worker of the small scenario with additional lines. */
    WorkerHarness(String scenarioLines) {
        this(SmallScenario.scenario(scenarioLines));
    }

    WorkerHarness(Scenario scenario) {
        cluster =
                new ClusterModel(
                        scenario,
                        time,
                        new SeededRandom(1),
                        RUN_SECONDS,
                        new Auditor(scenario, time, 0));
        worker = cluster.workers.get(0);
    }

    /** Sends an attempt of one slot. */
    WorkerAttempt send(String name, double workSeconds) {
        return send(name, workSeconds, 1);
    }

    WorkerAttempt send(String name, double workSeconds, int slots) {
        WorkerAttempt attempt =
                new WorkerAttempt(
                        name.hashCode(), workSeconds, slots, 0, recordingReply(name, time.now()));
        worker.accept(attempt);
        return attempt;
    }

    private WorkerAttempt.Reply recordingReply(String name, double sentAt) {
        return new WorkerAttempt.Reply() {
            private void record(String event) {
                double elapsed = time.now() - sentAt;
                responses.add(name + " " + event + String.format(Locale.ROOT, " %.2f", elapsed));
            }

            @Override
            public void onStarted() {
                record("started");
            }

            @Override
            public void onProgress(double fraction) {
                record(String.format(Locale.ROOT, "at %.2f", fraction));
            }

            @Override
            public void onEnded(AttemptEnding ending, double freeSlots) {
                record(ending + (Double.isNaN(freeSlots) ? "" : " free " + (int) freeSlots));
            }
        };
    }

    void advance(double seconds) {
        boolean[] isOver = {false};
        time.schedule(seconds, () -> isOver[0] = true);
        while (!isOver[0] && time.step()) {
            // Each step advances the simulated clock.
        }
    }

    /** Restarts the worker's process, which then begins with slow start. */
    void restart() {
        worker.crash();
        worker.start();
    }

    List<String> responses() {
        return responses;
    }

    /** Waits for responses, and asserts which events were recorded. */
    void assertResponses(String... expected) {
        advance(SETTLE_SECONDS);
        assertEquals(responses, List.of(expected));
    }
}
