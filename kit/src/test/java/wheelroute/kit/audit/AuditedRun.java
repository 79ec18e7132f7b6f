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
 * An audited run of one request that has just been sent. The test acts as the dispatcher, and the
 * auditor sees what it does.
 */
final class AuditedRun {
    static final int DISPATCHER = 0;
    static final int WORKER = 0;
    static final int WORKER_OF_SAME_ZONE = 1;
    static final int WORKER_OF_OTHER_ZONE = 2;

    /** Request classes of the scenario. */
    static final String IDEMPOTENT = "free";

    static final String IDEMPOTENT_BY_KEY_IN_ZONE = "keyed";
    static final String NON_IDEMPOTENT = "once";

    /** All attempts fail while the run's faults are in force. */
    static final String FAILING_WORKERS = "[[faults]]\nkind = \"burst\"\nat = 0\nfor = 4\n";

    static final double SLACK_SECONDS = 0.01;
    static final double DEADLINE_SECONDS = 2;
    private static final double WORK_SECONDS = 0.05;
    private static final double RUN_SECONDS = 5;

    /** The receiver of responses that no test looks at. */
    static final WorkerAttempt.Reply NO_REPLY =
            new WorkerAttempt.Reply() {
                @Override
                public void onStarted() {
                    // Not looked at.
                }

                @Override
                public void onProgress(double share) {
                    // Not looked at.
                }

                @Override
                public void onEnded(AttemptEnding ending, double freeSlots) {
                    // Not looked at.
                }
            };

    /** The control of dispatchers in a run whose faults affect workers only. */
    private static final class NoDispatcherFaults implements ClusterModel.DispatcherControl {
        @Override
        public void kill(int dispatcher) {
            throw new AssertionError("a fault of a dispatcher");
        }

        @Override
        public void terminate(int dispatcher) {
            throw new AssertionError("a fault of a dispatcher");
        }

        @Override
        public void start(int dispatcher, FaultMode mode) {
            throw new AssertionError("a fault of a dispatcher");
        }
    }

    final SimulatedTime time = new SimulatedTime();
    final Scenario scenario;
    final Auditor auditor;
    final ClusterModel cluster;
    final ClientAttempt clientAttempt;

    /** Creates a run whose request has this class. */
    static AuditedRun of(String requestClass) {
        return new AuditedRun(requestClass, "");
    }

    /** Creates a run with additional lines in its scenario. */
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

    /** Starts the faults of the scenario, and passes the first of them. */
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

    WorkerAttempt startAttemptOf(ClientAttempt of, int worker) {
        return startAttempt(of, worker, WORK_SECONDS);
    }

    private WorkerAttempt startAttempt(ClientAttempt of, int worker, double workSeconds) {
        WorkerAttempt attempt = new WorkerAttempt(of.key(), workSeconds, 1, 0, NO_REPLY);
        cluster.workers.get(worker).accept(attempt);
        return attempt;
    }

    void respond(FinalResponse response) {
        auditor.onResponse(clientAttempt, response);
    }

    /** Rejects the request, and lets its client retry after a delay. */
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
            // Each step moves the simulated clock on.
        }
    }

    /** Ends the run, and asserts that this rule was broken by the request. */
    void assertBreachOfRequest(Rule rule) {
        assertFalse(firstBreach(rule).history().isEmpty(), "a breach without its request");
    }

    /** Ends the run, and asserts that this rule was broken, though by no single request. */
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

    /** Ends the run, and asserts that no request broke a rule. */
    void assertNoBreach() {
        auditor.finish();
        // Attempts of unknown requests, which only fill a worker, have no history.
        assertFalse(
                auditor.breaches().stream().anyMatch(breach -> !breach.history().isEmpty()),
                auditor.breaches().toString());
    }
}
