package wheelroute.kit.audit;

import static org.testng.Assert.assertEquals;
import static wheelroute.kit.audit.AuditedRun.DISPATCHER;
import static wheelroute.kit.audit.AuditedRun.FAILING_WORKERS;
import static wheelroute.kit.audit.AuditedRun.IDEMPOTENT;
import static wheelroute.kit.audit.AuditedRun.IDEMPOTENT_BY_KEY_IN_ZONE;
import static wheelroute.kit.audit.AuditedRun.NON_IDEMPOTENT;
import static wheelroute.kit.audit.AuditedRun.WORKER;
import static wheelroute.kit.audit.AuditedRun.WORKER_OF_OTHER_ZONE;
import static wheelroute.kit.audit.AuditedRun.WORKER_OF_SAME_ZONE;

import org.testng.annotations.Test;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.FinalResponse;
import wheelroute.kit.model.WorkerAttempt;

/** Tests the rule that no request takes effect twice, for retries, hedging and rejections. */
public class RepeatedEffectAuditTest {
    private static final String NO_HEDGING = "[terms]\nmay_copy = false\n";

    private static AuditedRun runWithFailedAttempt(String requestClass) {
        AuditedRun run = AuditedRun.of(requestClass, FAILING_WORKERS);
        run.startFaultsAndAdvance();
        run.startAttempt(WORKER);
        run.advance(0.1);
        return run;
    }

    @Test
    public void reportsRetryOfNonIdempotentRequest() {
        AuditedRun run = runWithFailedAttempt(NON_IDEMPOTENT);
        run.startAttempt(WORKER_OF_OTHER_ZONE);
        run.assertBreachOfRequest(Rule.AT_MOST_ONE_EFFECT);
    }

    @Test
    public void acceptsRetryOfAttemptThatNeverRan() {
        AuditedRun run = AuditedRun.of(NON_IDEMPOTENT);
        for (int i = 0; i < 5; i++) {
            run.cluster
                    .workers
                    .get(WORKER_OF_OTHER_ZONE)
                    .accept(new WorkerAttempt(-1, 10, 1, 0, AuditedRun.NO_REPLY));
        }
        WorkerAttempt attempt = run.startAttempt(WORKER);
        run.cluster.workers.get(WORKER).cancel(attempt);
        run.assertNoBreach();
    }

    @Test
    public void reportsSecondStartOfNonIdempotentRequest() {
        AuditedRun run = AuditedRun.of(NON_IDEMPOTENT);
        run.startAttempt(WORKER);
        run.advance(0.1);
        run.startAttempt(WORKER_OF_SAME_ZONE);
        run.assertBreachOfRequest(Rule.AT_MOST_ONE_EFFECT);
    }

    @Test
    public void reportsSecondStartOverImpairedClientLink() {
        AuditedRun run = AuditedRun.of(NON_IDEMPOTENT);
        run.auditor.setClientsImpaired(DISPATCHER, true);
        run.startAttempt(WORKER);
        run.advance(0.1);
        run.startAttempt(WORKER_OF_SAME_ZONE);
        run.assertBreachOfRequest(Rule.AT_MOST_ONE_EFFECT);
    }

    @Test
    public void reportsRejectionOfNonIdempotentRequestThatMayHaveRun() {
        AuditedRun run = runWithFailedAttempt(NON_IDEMPOTENT);
        run.respond(FinalResponse.REJECTED);
        run.assertBreachOfRequest(Rule.AT_MOST_ONE_EFFECT);
    }

    @Test
    public void reportsRejectionOfRequestWhoseKeyIsKnownInOneZoneOnly() {
        AuditedRun run = runWithFailedAttempt(IDEMPOTENT_BY_KEY_IN_ZONE);
        run.respond(FinalResponse.REJECTED);
        run.assertBreachOfRequest(Rule.AT_MOST_ONE_EFFECT);
    }

    @Test
    public void reportsRetryOutsideIdempotencyScope() {
        AuditedRun run = runWithFailedAttempt(IDEMPOTENT_BY_KEY_IN_ZONE);
        run.startAttempt(WORKER_OF_OTHER_ZONE);
        run.assertBreachOfRequest(Rule.AT_MOST_ONE_EFFECT);
    }

    @Test
    public void reportsRetryAfterIdempotencyWindow() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT_BY_KEY_IN_ZONE, FAILING_WORKERS);
        run.startFaultsAndAdvance();
        run.startAttempt(WORKER);
        run.advance(1.2);
        run.startAttempt(WORKER_OF_SAME_ZONE);
        run.assertBreachOfRequest(Rule.AT_MOST_ONE_EFFECT);
    }

    @Test
    public void acceptsRetryWithinIdempotencyScopeAndWindow() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT_BY_KEY_IN_ZONE, FAILING_WORKERS);
        run.startFaultsAndAdvance();
        run.startAttempt(WORKER);
        run.advance(0.5);
        run.startAttempt(WORKER_OF_SAME_ZONE);
        run.advance(0.5);
        run.respond(FinalResponse.FAILED);
        run.assertNoBreach();
    }

    @Test
    public void reportsHedgedRequestWhereHedgingIsForbidden() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT, NO_HEDGING);
        run.startAttempt(WORKER, 1);
        run.advance(0.1);
        run.startAttempt(WORKER_OF_SAME_ZONE);
        run.advance(0.1);
        run.assertBreachOfRequest(Rule.AT_MOST_ONE_EFFECT);
    }

    @Test
    public void acceptsSecondAttemptAfterFirstIsClosed() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT, NO_HEDGING);
        WorkerAttempt first = run.startAttempt(WORKER, 1);
        run.auditor.onClosed(first);
        run.startAttempt(WORKER_OF_SAME_ZONE);
        run.advance(0.2);
        run.respond(FinalResponse.SUCCEEDED);
        run.assertNoBreach();
    }

    /**
     * Effects are counted over all attempts of a client, because a rejection promises that a retry
     * is safe.
     */
    @Test
    public void reportsEffectOfRetryAfterRejectionOfStartedRequest() {
        AuditedRun run = AuditedRun.of(NON_IDEMPOTENT);
        run.startAttempt(WORKER);
        run.advance(0.01);
        run.respond(FinalResponse.REJECTED);
        ClientAttempt retry = run.retry(1);
        run.auditor.onSent(retry);
        run.startAttemptOf(retry, WORKER_OF_OTHER_ZONE);
        assertEquals(
                run.auditor.count(Rule.AT_MOST_ONE_EFFECT), 2, run.auditor.breaches().toString());
    }
}
