package wheelroute.kit.audit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static wheelroute.kit.audit.AuditedRun.DISPATCHER;
import static wheelroute.kit.audit.AuditedRun.IDEMPOTENT;
import static wheelroute.kit.audit.AuditedRun.WORKER;

import org.testng.annotations.Test;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.ClientRequest;
import wheelroute.kit.model.FinalResponse;
import wheelroute.kit.report.Recorder;
import wheelroute.kit.scenario.Scenario;

/** Tests rules that concern no single request, and the removal of records. */
public class AuditorTest {
    private static final String CRASH =
            "[[faults]]\nkind = \"crash\"\nat = 0.1\nfor = 0.1\ngroup = \"near\"\n";
    private static final int REQUESTS = 50;

    @Test
    public void reportsCrashOfDispatcher() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.auditor.onCrash(DISPATCHER, "");
        run.assertBreachWithoutRequest(Rule.NO_CRASH);
    }

    @Test
    public void reportsCollapseOfWorkerInSlowStart() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT, CRASH);
        run.startFaults();
        run.advance(0.3);
        for (int i = 0; i < 40; i++) {
            run.startAttempt(WORKER, 0.2);
        }
        run.assertBreachWithoutRequest(Rule.NO_SLOW_START_OVERLOAD);
    }

    /**
     * Records must be removed, as memory would grow without bound, and must cause no breach then.
     */
    @Test
    public void removesRecordsAfterTheirDeadline() {
        AuditedRun run = AuditedRun.of(IDEMPOTENT);
        run.respond(FinalResponse.REJECTED);
        Recorder recorder = new Recorder(run.scenario, run.time, 5, run.auditor);
        for (int i = 1; i < REQUESTS; i++) {
            run.advance(1);
            ClientRequest request =
                    new ClientRequest(
                            i,
                            i,
                            run.clientAttempt.request().requestClass(),
                            Scenario.Tenant.NONE,
                            0.05,
                            0.05,
                            9);
            ClientAttempt attempt = new ClientAttempt(request, 0, DISPATCHER, run.time.now(), 2);
            recorder.onSent(attempt);
            recorder.onResponse(attempt, FinalResponse.REJECTED);
        }
        run.auditor.finish();
        assertEquals(run.auditor.total(), 0, run.auditor.breaches().toString());
        assertTrue(run.auditor.recordCount() < 10, run.auditor.recordCount() + " records are kept");
    }
}
