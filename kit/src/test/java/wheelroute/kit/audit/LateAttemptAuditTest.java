package wheelroute.kit.audit;

import static wheelroute.kit.audit.AuditedRun.DISPATCHER;
import static wheelroute.kit.audit.AuditedRun.IDEMPOTENT;
import static wheelroute.kit.audit.AuditedRun.NON_IDEMPOTENT;
import static wheelroute.kit.audit.AuditedRun.WORKER;

import org.testng.annotations.Test;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.FinalResponse;

/** Tests the rule against attempts after the final response, the deadline or a cancellation. */
public class LateAttemptAuditTest {
    @Test
    public void reportsAttemptAfterAnswer() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.respond(FinalResponse.REJECTED);
        run.advance(0.1);
        run.startAttempt(WORKER);
        run.assertBreachOfRequest(Rule.ONE_FINAL_ANSWER);
    }

    @Test
    public void reportsAttemptAfterDeadline() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.advance(2.5);
        run.startAttempt(WORKER);
        run.assertBreachOfRequest(Rule.ONE_FINAL_ANSWER);
    }

    @Test
    public void reportsAttemptAfterCancellationWhileRequestWaited() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.advance(0.1);
        run.auditor.onAbandoned(run.clientAttempt, true);
        run.advance(0.32);
        run.startAttempt(WORKER);
        run.assertBreachOfRequest(Rule.ONE_FINAL_ANSWER);
    }

    @Test
    public void acceptsAttemptJustAfterCancellation() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.advance(0.1);
        run.auditor.onAbandoned(run.clientAttempt, true);
        run.advance(0.3);
        run.startAttempt(WORKER);
        run.assertNoBreach();
    }

    @Test
    public void reportsAttemptForClientThatCancelledDuringPause() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.advance(0.1);
        run.auditor.onDispatcherPaused(DISPATCHER);
        run.auditor.onAbandoned(run.clientAttempt, true);
        run.advance(0.4);
        run.auditor.onDispatcherResumed(DISPATCHER);
        run.startAttempt(WORKER);
        run.assertBreachOfRequest(Rule.ONE_FINAL_ANSWER);
    }

    @Test
    public void reportsAttemptAfterPauseThatOutlastedDeadline() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.advance(0.03);
        run.auditor.onDispatcherPaused(DISPATCHER);
        run.advance(2.3);
        run.auditor.onAbandoned(run.clientAttempt, false);
        run.auditor.onDispatcherResumed(DISPATCHER);
        run.startAttempt(WORKER);
        run.assertBreachOfRequest(Rule.ONE_FINAL_ANSWER);
    }

    @Test
    public void excusesAttemptOfRequestThatWasBeingAcceptedAtPause() {
        AuditedRun run = AuditedRun.of(NON_IDEMPOTENT);
        run.advance(0.01);
        run.auditor.onDispatcherPaused(DISPATCHER);
        run.advance(2.5);
        run.auditor.onAbandoned(run.clientAttempt, false);
        run.auditor.onDispatcherResumed(DISPATCHER);
        run.startAttempt(WORKER);
        run.assertNoBreach();
    }

    @Test
    public void excusesLateAttemptOverImpairedClientLink() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.auditor.setClientsImpaired(DISPATCHER, true);
        run.advance(3.5);
        run.auditor.onAbandoned(run.clientAttempt, false);
        run.auditor.setClientsImpaired(DISPATCHER, false);
        int otherDispatcher = 1;
        run.auditor.onSent(
                new ClientAttempt(
                        run.clientAttempt.request(), 1, otherDispatcher, run.time.now(), 2));
        run.startAttempt(WORKER);
        run.assertNoBreach();
    }

    @Test
    public void excusesAttemptAsLateAsLinkDelay() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.auditor.setLinkDelay(DISPATCHER, WORKER, 1);
        run.respond(FinalResponse.REJECTED);
        run.advance(0.9);
        run.startAttempt(WORKER);
        run.assertNoBreach();
    }

    @Test
    public void reportsAttemptLaterThanLinkDelay() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.auditor.setLinkDelay(DISPATCHER, WORKER, 1);
        run.respond(FinalResponse.REJECTED);
        run.advance(1.2);
        run.startAttempt(WORKER);
        run.assertBreachOfRequest(Rule.ONE_FINAL_ANSWER);
    }

    @Test
    public void reportsLateAttemptLongAfterLinkDelayHasEnded() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.auditor.setLinkDelay(DISPATCHER, WORKER, 0.4);
        run.auditor.setLinkDelay(DISPATCHER, WORKER, 0);
        run.advance(1);
        run.respond(FinalResponse.REJECTED);
        run.advance(0.3);
        run.startAttempt(WORKER);
        run.assertBreachOfRequest(Rule.ONE_FINAL_ANSWER);
    }
}
