package wheelroute.kit.audit;

import static wheelroute.kit.audit.AuditedRun.DISPATCHER;
import static wheelroute.kit.audit.AuditedRun.IDEMPOTENT;
import static wheelroute.kit.audit.AuditedRun.NON_IDEMPOTENT;
import static wheelroute.kit.audit.AuditedRun.WORKER;

import org.testng.annotations.Test;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.FinalResponse;

/** Tests the rule that each request gets exactly one final response in time. */
public class FinalAnswerAuditTest {
    @Test
    public void acceptsOneAnswerInTime() {
        AuditedRun run = AuditedRun.of(NON_IDEMPOTENT);
        run.startAttempt(WORKER);
        run.advance(0.2);
        run.respond(FinalResponse.SUCCEEDED);
        run.assertNoBreach();
    }

    @Test
    public void reportsSecondAnswer() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.respond(FinalResponse.REJECTED);
        run.respond(FinalResponse.FAILED);
        run.assertBreachOfRequest(Rule.ONE_FINAL_ANSWER);
    }

    @Test
    public void reportsTimeoutOfClient() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.advance(2.001);
        run.auditor.onAbandoned(run.clientAttempt, false);
        run.assertBreachOfRequest(Rule.ONE_FINAL_ANSWER);
    }

    @Test
    public void reportsMissingAnswerAtEndOfRun() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.advance(2.1);
        run.assertBreachOfRequest(Rule.ONE_FINAL_ANSWER);
    }

    @Test
    public void reportsAnswerAfterDeadline() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.advance(2.1);
        run.respond(FinalResponse.REJECTED);
        run.assertBreachOfRequest(Rule.ONE_FINAL_ANSWER);
    }

    @Test
    public void reportsSuccessWithoutCompletedAttempt() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.respond(FinalResponse.SUCCEEDED);
        run.assertBreachOfRequest(Rule.ONE_FINAL_ANSWER);
    }

    @Test
    public void reportsLostConnection() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.auditor.onConnectionLost(run.clientAttempt);
        run.assertBreachOfRequest(Rule.ONE_FINAL_ANSWER);
    }

    @Test
    public void reportsLostConnectionAfterOtherProcessHasEnded() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.auditor.setHandoverDisrupted(DISPATCHER, true);
        run.auditor.setHandoverDisrupted(DISPATCHER, false);
        ClientAttempt retry = run.rejectAndRetryAfter(0.1);
        run.auditor.onConnectionLost(retry);
        run.assertBreachOfRequest(Rule.ONE_FINAL_ANSWER);
    }

    @Test
    public void reportsMissingAnswerAfterClientLinkHasRecovered() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.auditor.setClientsImpaired(DISPATCHER, true);
        run.auditor.setClientsImpaired(DISPATCHER, false);
        ClientAttempt retry = run.rejectAndRetryAfter(0.1);
        run.advance(2.1);
        run.auditor.onAbandoned(retry, false);
        run.assertBreachOfRequest(Rule.ONE_FINAL_ANSWER);
    }

    @Test
    public void excusesRequestsOfKilledDispatcher() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.auditor.onDispatcherStopped(DISPATCHER);
        run.auditor.onConnectionLost(run.clientAttempt);
        run.advance(3);
        run.assertNoBreach();
    }

    @Test
    public void excusesTimeoutDuringPause() {
        AuditedRun run = AuditedRun.of(NON_IDEMPOTENT);
        run.auditor.onDispatcherPaused(DISPATCHER);
        run.advance(3);
        run.auditor.onAbandoned(run.clientAttempt, false);
        run.auditor.onDispatcherResumed(DISPATCHER);
        run.assertNoBreach();
    }

    @Test
    public void excusesLostConnectionWhileOneOfTwoProcessesIsKilled() {
        AuditedRun run = AuditedRun.of(NON_IDEMPOTENT);
        run.auditor.setHandoverDisrupted(DISPATCHER, true);
        ClientAttempt retry = run.rejectAndRetryAfter(0.01);
        run.auditor.setHandoverDisrupted(DISPATCHER, false);
        run.auditor.onConnectionLost(retry);
        run.assertNoBreach();
    }

    @Test
    public void acceptsRefusedConnection() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.auditor.onRefused(run.clientAttempt);
        run.advance(3);
        run.assertNoBreach();
    }

    @Test
    public void acceptsNoAnswerAfterCancellation() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.auditor.onAbandoned(run.clientAttempt, true);
        run.advance(3);
        run.assertNoBreach();
    }
}
