package wheelroute.kit.audit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import wheelroute.kit.SmallScenario;
import wheelroute.kit.model.AttemptEnding;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.ClientRequest;
import wheelroute.kit.model.ClusterModel;
import wheelroute.kit.model.FinalResponse;
import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.model.WorkerAttempt;
import wheelroute.kit.scenario.FaultMode;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.simulation.SimulatedTime;

/**
 * An audited run of one request that has just been sent. The test acts as the dispatcher, whose
 * attempts and responses the auditor observes.
 */
final class AuditedRun {
    static final int DISPATCHER = 0;
    static final int WORKER = 0;
    static final int WORKER_OF_SAME_ZONE = 1;
    static final int WORKER_OF_OTHER_ZONE = 2;

    /** The request class of the scenario that is idempotent without a key. */
    static final String IDEMPOTENT = "free";

    static final String IDEMPOTENT_BY_KEY_IN_ZONE = "keyed";
    static final String NON_IDEMPOTENT = "once";

    /** The scenario lines of an error burst that fails all attempts in the first four seconds. */
    static final String FAILING_WORKERS = "[[faults]]\nkind = \"burst\"\nat = 0\nfor = 4\n";

    static final double SLACK_SECONDS = 0.01;
    static final double DEADLINE_SECONDS = 2;
    private static final double WORK_SECONDS = 0.05;
    private static final double RUN_SECONDS = 5;

    /** A reply that ignores all events of the attempt. */
    static final WorkerAttempt.Reply NO_REPLY =
            new WorkerAttempt.Reply() {
                @Override
                public void onStarted() {
                    // Events of this attempt are not tested.
                }

                @Override
                public void onProgress(double fraction) {
                    // Events of this attempt are not tested.
                }

                @Override
                public void onEnded(AttemptEnding ending, double freeSlots) {
                    // Events of this attempt are not tested.
                }
            };

    /** Fails the test on any fault of a dispatcher, in a run whose faults affect workers only. */
    private static final class NoDispatcherFaults implements ClusterModel.DispatcherControl {
        @Override
        public void kill(int dispatcher) {
            throw new AssertionError("unexpected fault of dispatcher " + dispatcher);
        }

        @Override
        public void terminate(int dispatcher) {
            throw new AssertionError("unexpected fault of dispatcher " + dispatcher);
        }

        @Override
        public void start(int dispatcher, FaultMode mode) {
            throw new AssertionError("unexpected fault of dispatcher " + dispatcher);
        }
    }

    final SimulatedTime time = new SimulatedTime();
    final Scenario scenario;
    final Auditor auditor;
    final ClusterModel cluster;
    final ClientAttempt clientAttempt;

    /** Creates a run of one request of this class. */
    static AuditedRun of(String requestClass) {
        return new AuditedRun(requestClass, "");
    }

    /** Creates a run of one request of this class, with additional lines in its scenario. */
    static AuditedRun of(String requestClass, String scenarioLines) {
        return new AuditedRun(requestClass, scenarioLines);
    }

    private AuditedRun(String requestClassName, String scenarioLines) {
        scenario = SmallScenario.scenario(scenarioLines);
        auditor = new Auditor(scenario, time, SLACK_SECONDS);
        cluster = new ClusterModel(scenario, time, new SeededRandom(1), RUN_SECONDS, auditor);
        Scenario.RequestClass requestClass =
                scenario.requestClasses().stream()
                        .filter(each -> each.name().equals(requestClassName))
                        .findFirst()
                        .orElseThrow();
        ClientRequest request =
                new ClientRequest(
                        0,
                        0,
                        requestClass,
                        Scenario.Tenant.NONE,
                        WORK_SECONDS,
                        WORK_SECONDS,
                        Double.POSITIVE_INFINITY);
        clientAttempt =
                new ClientAttempt(
                        request, 0, DISPATCHER, time.now(), requestClass.deadlineSeconds());
        auditor.onSent(clientAttempt);
    }

    /** Starts the faults of the scenario. */
    void startFaults() {
        cluster.start(new NoDispatcherFaults());
    }

    /** Starts the faults of the scenario, and advances until those at its start are active. */
    void startFaultsAndAdvance() {
        startFaults();
        advance(0.001);
    }

    WorkerAttempt startAttempt(int worker) {
        return startAttempt(worker, WORK_SECONDS);
    }

    WorkerAttempt startAttempt(int worker, double workSeconds) {
        return startAttempt(clientAttempt, worker, workSeconds);
    }

    WorkerAttempt startAttemptOf(ClientAttempt ofClient, int worker) {
        return startAttempt(ofClient, worker, WORK_SECONDS);
    }

    private WorkerAttempt startAttempt(ClientAttempt ofClient, int worker, double workSeconds) {
        WorkerAttempt attempt = new WorkerAttempt(ofClient.key(), workSeconds, 1, 0, NO_REPLY);
        cluster.workers.get(worker).accept(attempt);
        return attempt;
    }

    void respond(FinalResponse response) {
        auditor.onResponse(clientAttempt, response);
    }

    /** Rejects the request, and sends the client's retry after a delay. */
    ClientAttempt rejectAndRetryAfter(double delaySeconds) {
        respond(FinalResponse.REJECTED);
        advance(delaySeconds);
        ClientAttempt retry = retry(DEADLINE_SECONDS);
        auditor.onSent(retry);
        return retry;
    }

    /** Returns the client's second attempt, which is not sent yet. */
    ClientAttempt retry(double timeoutSeconds) {
        return new ClientAttempt(
                clientAttempt.request(), 1, DISPATCHER, time.now(), timeoutSeconds);
    }

    void advance(double seconds) {
        boolean[] isOver = {false};
        time.schedule(seconds, () -> isOver[0] = true);
        while (!isOver[0] && time.step()) {
            // Each step advances the simulated clock.
        }
    }

    /** Ends the run, and asserts a breach of the rule that has the history of a request. */
    void assertBreachOfRequest(Rule rule) {
        assertFalse(firstBreach(rule).history().isEmpty(), "the breach has no request history");
    }

    /** Ends the run, and asserts a breach of the rule that concerns no single request. */
    void assertBreachWithoutRequest(Rule rule) {
        Auditor.Breach breach = firstBreach(rule);
        assertEquals(breach.history().size(), 0, breach.toString());
    }

    private Auditor.Breach firstBreach(Rule rule) {
        auditor.finish();
        assertTrue(auditor.count(rule) > 0, auditor.breaches().toString());
        return auditor.breaches().stream()
                .filter(breach -> breach.rule() == rule)
                .findFirst()
                .orElseThrow();
    }

    /** Ends the run, and asserts that no breach has the history of a request. */
    void assertNoBreach() {
        auditor.finish();
        // Breaches by attempts of unknown requests, which only fill a worker, have no history.
        assertFalse(
                auditor.breaches().stream().anyMatch(breach -> !breach.history().isEmpty()),
                auditor.breaches().toString());
    }
}
