package wheelroute.kit.audit;

import static wheelroute.kit.audit.AuditedRun.DISPATCHER;
import static wheelroute.kit.audit.AuditedRun.IDEMPOTENT;
import static wheelroute.kit.audit.AuditedRun.WORKER;
import static wheelroute.kit.audit.AuditedRun.WORKER_OF_OTHER_ZONE;

import org.testng.annotations.Test;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.EndpointRegistry;
import wheelroute.kit.model.FinalResponse;

/** Tests the rule against attempts at workers known to be draining or removed. */
public class DrainingWorkerAuditTest {
    /**
     * Exceeds the drain grace, which equals a request's deadline, so that only a retry can be sent.
     */
    private static final double AFTER_GRACE_SECONDS = 2.1;

    @Test
    public void reportsAttemptAtDrainingWorker() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.auditor.onNotified(DISPATCHER, WORKER, EndpointRegistry.State.DRAINING);
        ClientAttempt retry = run.rejectAndRetryAfter(AFTER_GRACE_SECONDS);
        run.startAttemptOf(retry, WORKER);
        run.assertBreachOfRequest(Rule.NO_ATTEMPT_WHEN_DRAINING);
    }

    @Test
    public void reportsAttemptAtRemovedWorker() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.auditor.onNotified(DISPATCHER, WORKER_OF_OTHER_ZONE, EndpointRegistry.State.REMOVED);
        ClientAttempt retry = run.rejectAndRetryAfter(AFTER_GRACE_SECONDS);
        run.startAttemptOf(retry, WORKER_OF_OTHER_ZONE);
        run.assertBreachOfRequest(Rule.NO_ATTEMPT_WHEN_DRAINING);
    }

    @Test
    public void countsGraceFromNotificationBeforePause() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.auditor.onNotified(DISPATCHER, WORKER, EndpointRegistry.State.DRAINING);
        run.advance(1.5);
        run.auditor.onDispatcherPaused(DISPATCHER);
        run.advance(0.7);
        run.auditor.onDispatcherResumed(DISPATCHER);
        run.startAttempt(WORKER);
        run.assertBreachOfRequest(Rule.NO_ATTEMPT_WHEN_DRAINING);
    }

    @Test
    public void reportsAttemptAfterGraceSinceEndOfPause() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.auditor.onDispatcherPaused(DISPATCHER);
        run.auditor.onNotified(DISPATCHER, WORKER, EndpointRegistry.State.DRAINING);
        run.auditor.onDispatcherResumed(DISPATCHER);
        run.advance(2.2);
        run.startAttempt(WORKER);
        run.assertBreachOfRequest(Rule.NO_ATTEMPT_WHEN_DRAINING);
    }

    @Test
    public void acceptsAttemptWithinGraceSinceEndOfPause() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.auditor.onDispatcherPaused(DISPATCHER);
        run.auditor.onNotified(DISPATCHER, WORKER, EndpointRegistry.State.DRAINING);
        run.advance(1);
        run.auditor.onDispatcherResumed(DISPATCHER);
        run.startAttempt(WORKER);
        run.advance(0.2);
        run.respond(FinalResponse.SUCCEEDED);
        run.assertNoBreach();
    }
}
